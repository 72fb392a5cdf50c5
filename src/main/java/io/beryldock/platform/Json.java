package io.beryldock.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import java.io.IOException;

/** JSON of the bodies on the platform. Stateless, thread safe. */
final class Json {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /** Reads a body; fails when it is no JSON. */
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
            throw new IllegalStateException("a tree of texts and numbers is always JSON", e);
        }
    }
}
