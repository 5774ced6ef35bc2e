package org.oleandertrack.server.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Base64;
import org.oleandertrack.protocol.message.Header;
import org.oleandertrack.protocol.message.ResponseHead;

/**
 * A response as it is stored, so that it can be sent again. Immutable.
 *
 * @param head status and headers
 * @param body the whole body
 */
record StoredResponse(ResponseHead head, ByteString body) {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String STATUS = "status";
    private static final String HEADERS = "headers";
    private static final String TEXT = "text";
    private static final String BASE64 = "base64";

    // Operations

    /** Returns the response as JSON; a body that is not valid UTF-8 is encoded in Base64. */
    String encode() {
        ObjectNode root = MAPPER.createObjectNode();
        root.put(STATUS, head.getStatus());
        ArrayNode headers = root.putArray(HEADERS);
        for (Header header : head.getHeadersList()) {
            headers.addArray().add(header.getName()).add(header.getValue());
        }
        if (body.isValidUtf8()) {
            root.put(TEXT, body.toStringUtf8());
        } else {
            root.put(BASE64, Base64.getEncoder().encodeToString(body.toByteArray()));
        }
        return root.toString();
    }

    static StoredResponse decode(String text) {
        try {
            JsonNode root = MAPPER.readTree(text);
            ResponseHead.Builder head =
                    ResponseHead.newBuilder().setStatus(root.path(STATUS).asInt());
            for (JsonNode header : root.path(HEADERS)) {
                head.addHeaders(
                        Header.newBuilder()
                                .setName(header.path(0).asText())
                                .setValue(header.path(1).asText()));
            }
            return new StoredResponse(head.build(), body(root));
        } catch (IOException e) {
            throw new UncheckedIOException("a stored response cannot be read", e);
        }
    }

    void sendTo(ResponseSink sink) {
        sink.writeHead(head);
        if (!body.isEmpty()) {
            sink.writeBody(body);
        }
        sink.end();
    }

    // Helpers

    private static ByteString body(JsonNode root) {
        return root.has(BASE64)
                ? ByteString.copyFrom(Base64.getDecoder().decode(root.path(BASE64).asText()))
                : ByteString.copyFromUtf8(root.path(TEXT).asText());
    }
}
