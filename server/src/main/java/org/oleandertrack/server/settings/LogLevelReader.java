package org.oleandertrack.server.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;

/**
 * Reads only the log level of a settings file. The log must be configured before the loader runs,
 * because Dropwizard's classes write log lines while settings are read.
 */
public final class LogLevelReader {

    private static final Set<String> LEVELS = Set.of("trace", "debug", "info", "warn", "error");
    private static final String DEFAULT_LEVEL = "info";

    private LogLevelReader() {}

    /** Returns the file's log level, or the default if there is none that is valid. */
    public static String read(Path file) {
        try {
            JsonNode level =
                    new TomlMapper().readTree(Files.readAllBytes(file)).path("log").path("level");
            return LEVELS.contains(level.asText()) ? level.asText() : DEFAULT_LEVEL;
        } catch (IOException e) {
            return DEFAULT_LEVEL;
        }
    }
}
