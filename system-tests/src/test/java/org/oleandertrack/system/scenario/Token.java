package org.oleandertrack.system.scenario;

/**
 * One token of a line.
 *
 * @param column position of its first character, counted from 1
 */
record Token(Kind kind, String text, int column) {

    enum Kind {
        WORD,
        QUOTED,
        JSON
    }
}
