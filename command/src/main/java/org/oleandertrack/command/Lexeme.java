package org.oleandertrack.command;

/** A token of a statement: a word, a quoted text or a symbol. */
sealed interface Lexeme {

    /**
     * A word or quoted text. Words can be keywords, names or values; quoted texts are never
     * keywords.
     *
     * @param text the text, without quotes and escapes
     * @param quoted whether the text was in quotes
     */
    record Text(String text, boolean quoted) implements Lexeme {
        // jparsec puts this form into its error messages.
        @Override
        public String toString() {
            return quoted ? Lexer.quote(text) : text;
        }
    }

    /** One of the symbols {@code = , *}. */
    record Symbol(String text) implements Lexeme {
        @Override
        public String toString() {
            return text;
        }
    }
}
