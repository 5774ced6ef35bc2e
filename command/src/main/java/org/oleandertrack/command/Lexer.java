package org.oleandertrack.command;

import java.util.List;
import java.util.regex.Pattern;
import org.jparsec.Parser;
import org.jparsec.Parsers;
import org.jparsec.Scanners;
import org.jparsec.Token;
import org.jparsec.pattern.Patterns;

/** Splits a statement into {@linkplain Lexeme lexemes}. */
final class Lexer {

    static final String EQUALS = "=";
    static final String COMMA = ",";
    static final String WILDCARD = "*";

    private static final Pattern WORD = Pattern.compile("[A-Za-z0-9._:/-]+");
    private static final Pattern QUOTED = Pattern.compile("\"([^\"\\\\]|\\\\[\"\\\\])*+\"");
    private static final Pattern ESCAPE = Pattern.compile("\\\\(.)");

    private static final Parser<Lexeme> LEXEME =
            Parsers.or(
                    Patterns.regex(WORD)
                            .toScanner("name or value")
                            .source()
                            .map(text -> new Lexeme.Text(text, false)),
                    Patterns.regex(QUOTED)
                            .toScanner("quoted text")
                            .source()
                            .map(text -> new Lexeme.Text(unquote(text), true)),
                    Patterns.among(EQUALS + COMMA + WILDCARD)
                            .toScanner("symbol")
                            .source()
                            .map(Lexeme.Symbol::new));

    private static final Parser<Void> WHITESPACE = Scanners.WHITESPACES.skipMany();

    static final Parser<List<Token>> LEXEMES = WHITESPACE.next(LEXEME.lexer(WHITESPACE));

    private Lexer() {}

    /** Returns the text as a statement contains it, in quotes only if it needs them. */
    static String quoteIfNeeded(String text) {
        return WORD.matcher(text).matches() ? text : quote(text);
    }

    static String quote(String text) {
        return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }

    private static String unquote(String quoted) {
        return ESCAPE.matcher(quoted.substring(1, quoted.length() - 1)).replaceAll("$1");
    }
}
