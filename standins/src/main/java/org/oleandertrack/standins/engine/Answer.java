package org.oleandertrack.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * The text that the simulated engine generates for a request, one word per token. It is a function
 * of the messages and the token limit, so that tests can predict it.
 */
public final class Answer {

    private static final int DIGEST_PREFIX_CHARACTERS = 12;

    private final String mDigestPrefix;
    private final int mTokenCount;
    private final boolean mCutByMaxTokens;

    Answer(Prompt prompt, int maxTokens) {
        mDigestPrefix = prompt.digest().substring(0, DIGEST_PREFIX_CHARACTERS);
        mTokenCount = Math.min(maxTokens, prompt.requestedTokens());
        mCutByMaxTokens = maxTokens < prompt.requestedTokens();
    }

    /**
     * Returns the text that the engine generates for a message list, for tests that check an
     * answer.
     *
     * @param messages the JSON array of messages of the request
     * @throws IOException if it is not an array of messages
     */
    public static String expectedText(JsonNode messages, int maxTokens) throws IOException {
        return new Answer(Prompt.parse(messages), maxTokens).text();
    }

    int tokenCount() {
        return mTokenCount;
    }

    String id() {
        return "chatcmpl-" + mDigestPrefix;
    }

    String finishReason() {
        return mCutByMaxTokens ? "length" : "stop";
    }

    /** Returns the text of a token, with a leading space unless it is the first (index 0). */
    String tokenText(int index) {
        return (index == 0 ? "" : " ") + mDigestPrefix + "-" + index;
    }

    String text() {
        return IntStream.range(0, mTokenCount)
                .mapToObj(this::tokenText)
                .collect(Collectors.joining());
    }
}
