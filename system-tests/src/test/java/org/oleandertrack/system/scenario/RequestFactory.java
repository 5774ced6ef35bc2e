package org.oleandertrack.system.scenario;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Builds the HTTP requests of a scenario. Immutable. */
final class RequestFactory {

    private static final String MODEL_PATH = "/v1/chat/completions";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private RequestFactory() {}

    /** Builds a turn that carries the earlier texts of its conversation. */
    static SentRequest turn(Request.Turn turn, List<String> earlier, String model) {
        List<String> texts = new ArrayList<>(earlier);
        texts.add(turn.text());
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Content-Type", "application/json");
        headers.put("Oleandertrack-Organisation", turn.organisation());
        headers.put("Oleandertrack-Program", turn.program());
        headers.put("Oleandertrack-Turn", Integer.toString(turn.turn()));
        headers.putAll(turn.headers());
        ObjectNode body = MAPPER.createObjectNode();
        body.put("model", turn.model().isEmpty() ? model : turn.model());
        body.put("max_tokens", turn.tokens());
        body.put("stream", turn.streamed());
        ArrayNode messages = body.putArray("messages");
        for (int i = 0; i < texts.size(); i++) {
            messages.addObject()
                    .put("role", i % 2 == 0 ? "user" : "assistant")
                    .put("content", texts.get(i));
        }
        return new SentRequest(
                "POST",
                MODEL_PATH,
                headers,
                body.toString(),
                Optional.of(conversation(turn)),
                List.copyOf(texts));
    }

    static SentRequest call(Request.Call call) {
        return new SentRequest(
                call.method(),
                call.path(),
                call.headers(),
                call.body(),
                Optional.empty(),
                List.of());
    }

    static SentRequest ctl(String command) {
        String body =
                MAPPER.createObjectNode()
                        .put("command", command)
                        .put("operator", "system-test")
                        .toString();
        return new SentRequest(
                "POST",
                "/ctl",
                Map.of("Content-Type", "application/json"),
                body,
                Optional.empty(),
                List.of());
    }

    /** Builds the request that a target gets from the system, without the system's headers. */
    static SentRequest direct(SentRequest request) {
        return new SentRequest(
                request.method(),
                request.path(),
                Map.of("Content-Type", "application/json"),
                request.body(),
                Optional.empty(),
                List.of());
    }

    static String conversation(Request.Turn turn) {
        return turn.organisation() + "/" + turn.program();
    }
}
