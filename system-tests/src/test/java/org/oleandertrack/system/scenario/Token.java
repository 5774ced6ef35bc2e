package org.oleandertrack.system.scenario;

/**
 * A token of a line of a scenario file.
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
