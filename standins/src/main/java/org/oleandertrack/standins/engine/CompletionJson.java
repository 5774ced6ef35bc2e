package org.oleandertrack.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.oleandertrack.standins.http.Json;

/** Builds the JSON that whole and streamed chat completions share. */
final class CompletionJson {

    private CompletionJson() {}

    /**
     * Returns the fields that come before the choices. The creation time is always 0, so that equal
     * requests get equal responses.
     */
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
