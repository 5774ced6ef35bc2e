package org.oleandertrack.system.scenario;

import java.util.ArrayList;
import java.util.List;

/**
 * Splits a line into words, quoted texts and a JSON object, which extends to the end of the line.
 */
final class ScenarioLexer {

    private final String mFile;
    private final int mLine;
    private final String mText;
    private int mPosition;

    ScenarioLexer(String file, int line, String text) {
        mFile = file;
        mLine = line;
        mText = text;
    }

    List<Token> tokenize() {
        List<Token> tokens = new ArrayList<>();
        while (skipBlanks()) {
            int column = mPosition + 1;
            char first = mText.charAt(mPosition);
            if (first == '#') {
                break;
            }
            if (first == '"') {
                tokens.add(new Token(Token.Kind.QUOTED, readQuoted(), column));
            } else if (first == '{') {
                tokens.add(new Token(Token.Kind.JSON, mText.substring(mPosition).strip(), column));
                break;
            } else {
                tokens.add(new Token(Token.Kind.WORD, readWord(), column));
            }
        }
        return tokens;
    }

    private boolean skipBlanks() {
        while (mPosition < mText.length() && Character.isWhitespace(mText.charAt(mPosition))) {
            mPosition++;
        }
        return mPosition < mText.length();
    }

    private String readWord() {
        int start = mPosition;
        while (mPosition < mText.length()
                && !Character.isWhitespace(mText.charAt(mPosition))
                && mText.charAt(mPosition) != '"') {
            mPosition++;
        }
        return mText.substring(start, mPosition);
    }

    private String readQuoted() {
        int start = mPosition;
        StringBuilder text = new StringBuilder();
        mPosition++;
        while (mPosition < mText.length() && mText.charAt(mPosition) != '"') {
            char next = mText.charAt(mPosition++);
            text.append(next == '\\' ? readEscaped() : next);
        }
        if (mPosition >= mText.length()) {
            throw new ScenarioSyntaxException(mFile, mLine, start + 1, "a quote is not closed");
        }
        mPosition++;
        return text.toString();
    }

    private char readEscaped() {
        char next = mPosition < mText.length() ? mText.charAt(mPosition++) : ' ';
        return switch (next) {
            case '"', '\\' -> next;
            case 'n' -> '\n';
            case 'r' -> '\r';
            case 't' -> '\t';
            default ->
                    throw new ScenarioSyntaxException(
                            mFile, mLine, mPosition, "an escape is one of \\\" \\\\ \\n \\r \\t");
        };
    }
}
