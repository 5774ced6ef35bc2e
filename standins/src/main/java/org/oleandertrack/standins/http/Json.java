package org.oleandertrack.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Reads and writes JSON. Thread-safe. */
public final class Json {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    public static ArrayNode array() {
        return MAPPER.createArrayNode();
    }

    /**
     * Parses a JSON object.
     *
     * @throws BadRequestException if the bytes are not one JSON object
     */
    public static JsonNode parseObject(byte[] bytes) throws IOException {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            if (node == null || !node.isObject()) {
                throw new BadRequestException("the body is not a JSON object");
            }
            return node;
        } catch (JsonProcessingException e) {
            throw new BadRequestException("the body is not JSON: " + e.getOriginalMessage());
        }
    }

    /** Returns the JSON text of a node in UTF-8. */
    public static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
