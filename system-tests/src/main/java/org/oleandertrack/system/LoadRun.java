package org.oleandertrack.system;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A run of the load generator of the standins module in a process of its own. Immutable. */
final class LoadRun {

    private static final String ORGANISATION = "Oleandertrack-Organisation=kaasik-paern";

    private final Path mJar;
    private final URI mUrl;
    private final List<String> mArguments;

    private LoadRun(Path jar, URI url, List<String> arguments) {
        mJar = jar;
        mUrl = url;
        mArguments = List.copyOf(arguments);
    }

    /** Returns a run that sends the given number of calls over a number of connections. */
    static LoadRun of(Path jar, URI url, int calls, int connections) {
        return new LoadRun(
                jar,
                url,
                List.of(
                        "--calls",
                        Integer.toString(calls),
                        "--concurrency",
                        Integer.toString(connections),
                        "--header",
                        ORGANISATION));
    }

    /**
     * Returns a copy that sends a further header. The text {@code {n}} in the value is replaced
     * with the number of the call.
     */
    LoadRun withHeader(String name, String value) {
        return withArguments("--header", name + "=" + value);
    }

    /** Returns a copy that sends POST requests with the content of a file as body. */
    LoadRun withBody(Path file) {
        return withArguments("--method", "POST").withArguments("--body-file", file.toString());
    }

    /** Returns a copy that reads answers as event streams. */
    LoadRun withStreaming() {
        return withArguments("--stream");
    }

    /**
     * Runs the load and returns the report of the load generator.
     *
     * @throws IOException if the process cannot be started or its output is not JSON
     */
    JsonNode run() throws IOException {
        List<String> arguments = new ArrayList<>(List.of("load", "--url", mUrl.toString()));
        arguments.addAll(mArguments);
        Process process =
                new ProcessBuilder(ManagedProcess.javaCommand(mJar, JvmOptions.STANDIN, arguments))
                        .redirectErrorStream(true)
                        .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return new ObjectMapper().readTree(output);
    }

    private LoadRun withArguments(String... added) {
        List<String> arguments = new ArrayList<>(mArguments);
        arguments.addAll(List.of(added));
        return new LoadRun(mJar, mUrl, arguments);
    }
}
