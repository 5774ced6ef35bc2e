package org.oleandertrack.command;

/** A word, quoted text or symbol of a statement. */
sealed interface Lexeme {

    /** Text that names something or gives a value. */
    record Text(String text, boolean quoted) implements Lexeme {
        // Parser errors show the encountered lexeme.
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
