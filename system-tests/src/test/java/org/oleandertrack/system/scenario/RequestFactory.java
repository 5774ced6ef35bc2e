package org.oleandertrack.system.scenario;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Creates the HTTP requests of a scenario. */
final class RequestFactory {

    private static final String MODEL_PATH = "/v1/chat/completions";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private RequestFactory() {}

    /**
     * Creates the request of a turn.
     *
     * @param earlier texts of the earlier turns and the answers to them, alternating
     * @param model model to use if the turn does not name one
     */
    static SentRequest createTurn(Request.Turn turn, List<String> earlier, String model) {
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
        body.put("max_tokens", turn.maxTokens());
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
                Optional.of(conversationKey(turn)),
                List.copyOf(texts));
    }

    static SentRequest createCall(Request.Call call) {
        return new SentRequest(
                call.method(),
                call.path(),
                call.headers(),
                call.body(),
                Optional.empty(),
                List.of());
    }

    static SentRequest createCtl(String command) {
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

    /**
     * Creates the request to send to a target directly: the same one without Oleandertrack's
     * headers.
     */
    static SentRequest createDirect(SentRequest request) {
        return new SentRequest(
                request.method(),
                request.path(),
                Map.of("Content-Type", "application/json"),
                request.body(),
                Optional.empty(),
                List.of());
    }

    static String conversationKey(Request.Turn turn) {
        return turn.organisation() + "/" + turn.program();
    }
}
