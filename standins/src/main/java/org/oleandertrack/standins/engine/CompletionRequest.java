package org.oleandertrack.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import org.oleandertrack.standins.http.BadRequestException;

/** The fields of a chat completion request that the simulated engine uses. */
record CompletionRequest(
        String requestId,
        String model,
        Prompt prompt,
        int maxTokens,
        boolean stream,
        int priority,
        String cacheOwner) {

    private static final int DEFAULT_MAX_TOKENS = 16;

    /**
     * Reads a request body.
     *
     * @throws BadRequestException if the token limit or the messages are not valid
     */
    static CompletionRequest parse(JsonNode body, String requestId) throws IOException {
        int maxTokens =
                body.path("max_completion_tokens")
                        .asInt(body.path("max_tokens").asInt(DEFAULT_MAX_TOKENS));
        if (maxTokens < 1) {
            throw new BadRequestException("max_tokens is less than 1");
        }
        return new CompletionRequest(
                requestId,
                body.path("model").asText(""),
                Prompt.parse(body.path("messages")),
                maxTokens,
                body.path("stream").asBoolean(false),
                body.path("priority").asInt(0),
                body.path("cache_owner").asText(""));
    }
}
