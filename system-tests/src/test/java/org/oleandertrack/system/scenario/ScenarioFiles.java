package org.oleandertrack.system.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Finds and parses the scenario files of this module. */
final class ScenarioFiles {

    static final Path MODULE = Path.of("").toAbsolutePath();
    static final Path ROOT = MODULE.getParent();

    private static final Path RESOURCES = MODULE.resolve("src/test/resources");
    private static final String EXTENSION = ".scenario";

    private ScenarioFiles() {}

    static Path scenariosFolder() {
        return RESOURCES.resolve("scenarios");
    }

    /** Returns all scenarios. Scenarios that share a deployment follow one another. */
    static List<Scenario> all() {
        try (Stream<Path> files = Files.list(scenariosFolder())) {
            return files.filter(file -> file.toString().endsWith(EXTENSION))
                    .map(ScenarioFiles::parse)
                    .sorted(
                            Comparator.comparing(
                                            (Scenario scenario) ->
                                                    scenario.sharedDeployment().orElse(""))
                                    .thenComparing(Scenario::file))
                    .toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the scenario that starts the shared deployment with the given name. */
    static Scenario deployment(String name) {
        return parse(RESOURCES.resolve("deployments").resolve(name + EXTENSION));
    }

    private static Scenario parse(Path file) {
        try {
            return new ScenarioParser(file.getFileName().toString()).parse(Files.readString(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
