package org.oleandertrack.system.scenario;

/** Reports a syntax error in a scenario file with its line and column, both counted from 1. */
final class ScenarioSyntaxException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    ScenarioSyntaxException(String file, int line, int column, String message) {
        super(file + ":" + line + ":" + column + ": " + message);
    }
}
