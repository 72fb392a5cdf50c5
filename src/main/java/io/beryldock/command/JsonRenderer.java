package io.beryldock.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.guava.GuavaModule;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

/** Renders responses as one line of JSON, and reads them. Stateless, thread safe. */
public final class JsonRenderer {

    /** A field that is not known is skipped, so that a client reads the responses of later releases. */
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .addModule(new GuavaModule())
            .addModule(new Jdk8Module())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private JsonRenderer() {}

    /** The response as one line without its end. */
    public static String render(OperatorResponse response) {
        try {
            return MAPPER.writeValueAsString(response);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a response has values that JSON does", e);
        }
    }

    public static OperatorResponse read(String json) throws JsonProcessingException {
        return MAPPER.readValue(json, OperatorResponse.class);
    }
}
