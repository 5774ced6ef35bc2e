package org.oleandertrack.system.scenario;

import java.util.List;
import java.util.Optional;

/**
 * A parsed scenario file. Immutable.
 *
 * @param file name of the file, used in errors
 */
record Scenario(String file, List<Line> lines) {

    /** A statement and the number of its line, counted from 1. */
    record Line(int number, Statement statement) {}

    String name() {
        return file.substring(0, file.lastIndexOf('.'));
    }

    Optional<String> sharedDeployment() {
        return lines.stream()
                .map(Line::statement)
                .filter(Statement.Uses.class::isInstance)
                .map(statement -> ((Statement.Uses) statement).deployment())
                .findFirst();
    }

    boolean isGolden() {
        return lines.stream().anyMatch(line -> line.statement() instanceof Statement.Golden);
    }

    List<String> invariants() {
        return lines.stream()
                .map(Line::statement)
                .filter(Statement.Guards.class::isInstance)
                .flatMap(statement -> ((Statement.Guards) statement).invariants().stream())
                .toList();
    }
}
