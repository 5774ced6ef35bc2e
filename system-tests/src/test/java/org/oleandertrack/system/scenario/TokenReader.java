package org.oleandertrack.system.scenario;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Reads the tokens of one statement from left to right. */
final class TokenReader {

    private static final int MAX_REPEATED_BYTES = 64 << 20;

    private final String mFile;
    private final int mLine;
    private final List<Token> mTokens;
    private int mNext;

    TokenReader(String file, int line, List<Token> tokens) {
        mFile = file;
        mLine = line;
        mTokens = tokens;
    }

    // Operations

    /**
     * Returns the next token, which must be a word.
     *
     * @param description names the expected token in the error message
     */
    String word(String description) {
        Token token = next(description);
        if (token.kind() != Token.Kind.WORD) {
            throw error(token.column(), "expected " + description + ", found quoted text");
        }
        return token.text();
    }

    /**
     * Returns the next word or quoted text. The tokens {@code bytes N} stand for a text of N
     * letters.
     *
     * @param description names the expected text in the error message
     */
    String text(String description) {
        Token token = next(description);
        if (token.kind() == Token.Kind.JSON) {
            throw error(token.column(), "expected " + description + ", found JSON");
        }
        if (token.kind() == Token.Kind.WORD && token.text().equals("bytes")) {
            long count = number("number of bytes");
            if (count > MAX_REPEATED_BYTES) {
                throw error(token.column(), "at most " + MAX_REPEATED_BYTES + " bytes");
            }
            return "x".repeat((int) count);
        }
        return token.text();
    }

    /** Returns the next token, which must be a JSON object. */
    String json() {
        Token token = next("a JSON object");
        if (token.kind() != Token.Kind.JSON) {
            throw error(token.column(), "expected a JSON object");
        }
        return token.text();
    }

    long number(String description) {
        Token token = next(description);
        try {
            return Long.parseLong(token.text());
        } catch (NumberFormatException e) {
            throw error(
                    token.column(), "expected " + description + ", found '" + token.text() + "'");
        }
    }

    /** Reads the next token, which must be the given word. */
    void requireKeyword(String word) {
        Token token = next("'" + word + "'");
        if (!isWord(token, word)) {
            throw error(token.column(), "expected '" + word + "', found '" + token.text() + "'");
        }
    }

    /** Reads the next token if it is the given word; returns whether it was. */
    boolean acceptKeyword(String word) {
        if (hasNext() && isWord(mTokens.get(mNext), word)) {
            mNext++;
            return true;
        }
        return false;
    }

    /** Returns the next token, which must be one of the given words. */
    String oneOf(Set<String> words) {
        Set<String> sorted = new TreeSet<>(words);
        Token token = next("one of " + sorted);
        if (token.kind() != Token.Kind.WORD || !words.contains(token.text())) {
            throw error(
                    token.column(), "expected one of " + sorted + ", found '" + token.text() + "'");
        }
        return token.text();
    }

    void requireEnd() {
        if (hasNext()) {
            Token token = mTokens.get(mNext);
            throw error(token.column(), "unexpected '" + token.text() + "'");
        }
    }

    // Accessors

    boolean hasNext() {
        return mNext < mTokens.size();
    }

    /** Creates an error at the column of the token that was read last. */
    ScenarioSyntaxException error(String message) {
        return error(mTokens.get(Math.max(0, mNext - 1)).column(), message);
    }

    // Helpers

    private Token next(String description) {
        if (!hasNext()) {
            Token last = mTokens.getLast();
            throw error(
                    last.column() + last.text().length(),
                    "expected " + description + " at the line's end");
        }
        return mTokens.get(mNext++);
    }

    private static boolean isWord(Token token, String word) {
        return token.kind() == Token.Kind.WORD && token.text().equals(word);
    }

    private ScenarioSyntaxException error(int column, String message) {
        return new ScenarioSyntaxException(mFile, mLine, column, message);
    }
}
