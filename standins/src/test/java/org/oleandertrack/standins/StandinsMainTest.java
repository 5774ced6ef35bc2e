package org.oleandertrack.standins;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StandinsMainTest {

    private static final long EXIT_SECONDS = 60;

    /** Guards against a stand-in that prints its port before it listens, or ignores SIGTERM. */
    @ParameterizedTest
    @ValueSource(strings = {"platform", "engine", "service"})
    void serverPrintsItsPortAndEndsOnSigterm(String command) throws Exception {
        Process process = start(command);
        try (BufferedReader out = process.inputReader(UTF_8)) {
            String line = out.readLine();
            assertTrue(line.matches("ready \\d+"), line);
            int port = Integer.parseInt(line.substring("ready ".length()));
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                assertTrue(socket.isConnected());
            }

            // Process.destroy() would close the output stream that is read below.
            process.toHandle().destroy();

            assertTrue(process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS));
            assertEquals(List.of(), out.lines().toList());
        } finally {
            process.destroyForcibly();
        }
    }

    /** Guards against a misspelt option that is ignored. */
    @Test
    void unknownOptionIsAUsageError() throws Exception {
        Process process = start("service", "--delay-milis", "5");
        try {
            assertTrue(process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS));
            assertEquals(2, process.exitValue());
        } finally {
            process.destroyForcibly();
        }
    }

    private static Process start(String... args) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xmx64m", "-cp", System.getProperty("java.class.path")));
        command.add(StandinsMain.class.getName());
        command.addAll(List.of(args));
        return new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start();
    }
}
