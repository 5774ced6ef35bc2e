package org.oleandertrack.system.scenario;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Reads the tokens of one statement from left to right. */
final class TokenReader {

    private static final int MAX_FILLED_BYTES = 64 << 20;

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

    /** Returns the next word. */
    String word(String what) {
        Token token = next(what);
        if (token.kind() != Token.Kind.WORD) {
            throw error(token.column(), "expected " + what + ", found quoted text");
        }
        return token.text();
    }

    /** Returns the next word or quoted text; {@code bytes N} stands for N letters. */
    String text(String what) {
        Token token = next(what);
        if (token.kind() == Token.Kind.JSON) {
            throw error(token.column(), "expected " + what + ", found JSON");
        }
        if (token.kind() == Token.Kind.WORD && token.text().equals("bytes")) {
            long count = number("number of bytes");
            if (count > MAX_FILLED_BYTES) {
                throw error(token.column(), "at most " + MAX_FILLED_BYTES + " bytes");
            }
            return "x".repeat((int) count);
        }
        return token.text();
    }

    /** Returns a JSON object that takes the rest of the line. */
    String json() {
        Token token = next("a JSON object");
        if (token.kind() != Token.Kind.JSON) {
            throw error(token.column(), "expected a JSON object");
        }
        return token.text();
    }

    long number(String what) {
        Token token = next(what);
        try {
            return Long.parseLong(token.text());
        } catch (NumberFormatException e) {
            throw error(token.column(), "expected " + what + ", found '" + token.text() + "'");
        }
    }

    /** Reads a fixed word. */
    void keyword(String word) {
        Token token = next("'" + word + "'");
        if (!isWord(token, word)) {
            throw error(token.column(), "expected '" + word + "', found '" + token.text() + "'");
        }
    }

    /** Reads a fixed word if it is next. */
    boolean accept(String word) {
        if (hasNext() && isWord(mTokens.get(mNext), word)) {
            mNext++;
            return true;
        }
        return false;
    }

    /** Reads one of some words. */
    String oneOf(Set<String> words) {
        Set<String> sorted = new TreeSet<>(words);
        Token token = next("one of " + sorted);
        if (token.kind() != Token.Kind.WORD || !words.contains(token.text())) {
            throw error(
                    token.column(), "expected one of " + sorted + ", found '" + token.text() + "'");
        }
        return token.text();
    }

    void end() {
        if (hasNext()) {
            Token token = mTokens.get(mNext);
            throw error(token.column(), "unexpected '" + token.text() + "'");
        }
    }

    // Accessors

    boolean hasNext() {
        return mNext < mTokens.size();
    }

    /** Creates an error at the token read last. */
    ScenarioSyntaxException error(String message) {
        return error(mTokens.get(Math.max(0, mNext - 1)).column(), message);
    }

    // Helpers

    private Token next(String what) {
        if (!hasNext()) {
            Token last = mTokens.getLast();
            throw error(
                    last.column() + last.text().length(),
                    "expected " + what + " at the line's end");
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
