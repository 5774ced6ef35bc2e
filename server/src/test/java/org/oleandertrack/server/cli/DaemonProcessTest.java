package org.oleandertrack.server.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a process that ends on SIGTERM without a graceful stop, and against log lines that
 * are not JSON or do not respect the log level of the settings.
 */
@Timeout(120)
final class DaemonProcessTest {

    private static final int EXIT_SIGTERM = 143;
    private static final String SETTINGS =
            """
            node = "entry-1"
            zone = "zone-a"
            [http]
            address = "127.0.0.1"
            [peer]
            address = "127.0.0.1"
            [platform]
            tableUrl = "http://127.0.0.1:9001"
            objectUrl = "http://127.0.0.1:9001"
            hostsUrl = "http://127.0.0.1:9001"
            [log]
            level = "%s"
            """;

    @TempDir private Path mFolder;

    @Test
    void sigtermStopsTheDaemonOnceBeforeTheProcessEnds() throws Exception {
        List<String> messages = messagesOf("info");
        assertTrue(messages.contains("start called: entry entry-1"), messages.toString());
        int started = messages.indexOf("entry started");
        assertEquals(
                List.of(
                        "entry started",
                        "entry stopping",
                        "stop called: entry entry-1",
                        "entry stopped"),
                messages.subList(started, messages.size()));
        assertTrue(messages.contains("a line of java.util.logging"), messages.toString());
        assertEquals(false, messages.contains("a debug line"));
    }

    @Test
    void logLevelOfTheSettingsIsApplied() throws Exception {
        assertTrue(messagesOf("debug").contains("a debug line"));
    }

    @Test
    void invalidSettingsEndTheProcessWithTheirExitCode() throws Exception {
        Process process = start(SETTINGS.formatted("loud"));
        process.getInputStream().readAllBytes();
        String err = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(ExitCode.SETTINGS_INVALID_VALUE.number(), process.waitFor());
        assertTrue(err.lines().anyMatch(l -> l.contains("9003 SETTINGS_INVALID_VALUE")), err);
        assertTrue(err.contains("log.level"), err);
    }

    /** Starts a daemon, sends it SIGTERM once it has started and returns its log messages. */
    private List<String> messagesOf(String level) throws Exception {
        Process process = start(SETTINGS.formatted(level));
        List<String> messages = new ArrayList<>();
        try (BufferedReader out = process.inputReader(StandardCharsets.UTF_8)) {
            ObjectMapper json = new ObjectMapper();
            for (String line = out.readLine(); line != null; line = out.readLine()) {
                JsonNode entry = json.readTree(line);
                messages.add(entry.get("message").asText());
                if (messages.getLast().equals("entry started")) {
                    // Sends SIGTERM; Process.destroy would also close the output that is read here.
                    process.toHandle().destroy();
                }
            }
        } finally {
            process.destroyForcibly();
        }
        assertEquals(EXIT_SIGTERM, process.waitFor());
        return messages;
    }

    private Process start(String toml) throws IOException {
        Path settings = Files.writeString(mFolder.resolve("entry.toml"), toml);
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx96m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        RecordingDaemonMain.class.getName(),
                        "entry",
                        "--settings",
                        settings.toString())
                .start();
    }
}
