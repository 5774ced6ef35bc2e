package org.oleandertrack.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * The text that the engine generates for a request, one word per token. It depends only on the
 * messages and the largest number of tokens.
 */
public final class Answer {

    private static final int SEED_CHARACTERS = 12;

    private final String mSeed;
    private final int mTokens;
    private final boolean mCutByMaxTokens;

    Answer(Prompt prompt, int maxTokens) {
        mSeed = prompt.digest().substring(0, SEED_CHARACTERS);
        mTokens = Math.min(maxTokens, prompt.requestedTokens());
        mCutByMaxTokens = maxTokens < prompt.requestedTokens();
    }

    /**
     * Returns the whole text for a message list, for tests that check an answer.
     *
     * @param messages the JSON array of messages as it was sent
     * @throws IOException if it is not an array of messages
     */
    public static String expectedText(JsonNode messages, int maxTokens) throws IOException {
        return new Answer(Prompt.parse(messages), maxTokens).text();
    }

    int tokens() {
        return mTokens;
    }

    String id() {
        return "chatcmpl-" + mSeed;
    }

    String finishReason() {
        return mCutByMaxTokens ? "length" : "stop";
    }

    /** Returns the text of a token with the space before it; index 0 is the first. */
    String token(int index) {
        return (index == 0 ? "" : " ") + mSeed + "-" + index;
    }

    String text() {
        return IntStream.range(0, mTokens).mapToObj(this::token).collect(Collectors.joining());
    }
}
