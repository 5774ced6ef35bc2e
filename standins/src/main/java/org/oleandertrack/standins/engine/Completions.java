package org.oleandertrack.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.oleandertrack.standins.http.Json;

/** The parts that whole and streamed completions share. */
final class Completions {

    private Completions() {}

    /** The creation time is always 0, so that equal requests get equal answers. */
    static ObjectNode head(Answer answer, String model, String objectType) {
        return Json.object()
                .put("id", answer.id())
                .put("object", objectType)
                .put("created", 0)
                .put("model", model);
    }

    static ObjectNode usage(TokenSink.Usage usage) {
        ObjectNode node =
                Json.object()
                        .put("prompt_tokens", usage.promptTokens())
                        .put("completion_tokens", usage.completionTokens())
                        .put("total_tokens", usage.promptTokens() + usage.completionTokens());
        node.putObject("prompt_tokens_details").put("cached_tokens", usage.cachedTokens());
        return node;
    }
}
