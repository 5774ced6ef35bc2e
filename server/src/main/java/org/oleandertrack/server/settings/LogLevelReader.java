package org.oleandertrack.server.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;

/**
 * Reads only the log level of a settings file. Logging must be configured before {@link
 * SettingsLoader} runs, because Dropwizard's classes log while settings are read.
 */
public final class LogLevelReader {

    private static final Set<String> LEVELS = Set.of("trace", "debug", "info", "warn", "error");
    private static final String DEFAULT_LEVEL = "info";

    private LogLevelReader() {}

    /** Returns the log level in the file, or {@code info} if the file has no valid one. */
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
