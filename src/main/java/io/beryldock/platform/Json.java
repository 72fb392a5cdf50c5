package io.beryldock.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import java.io.IOException;

/** Reads and writes the JSON bodies of the platform's protocols. Stateless, thread safe. */
final class Json {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /**
     * Reads a body.
     *
     * @throws IOException if the body is not valid JSON
     */
    static JsonNode read(ByteString body) throws IOException {
        return MAPPER.readTree(body.toByteArray());
    }

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static ByteString write(ObjectNode node) {
        try {
            return ByteString.copyFrom(MAPPER.writeValueAsBytes(node));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree could not be serialised", e);
        }
    }
}
