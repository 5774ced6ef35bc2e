package org.oleandertrack.system;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Runs the load client of the stand-ins as a process of its own. Immutable. */
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

    /** Returns a run of calls with the given number of connections. */
    static LoadRun of(Path jar, URI url, int calls, int concurrency) {
        return new LoadRun(
                jar,
                url,
                List.of(
                        "--calls",
                        Integer.toString(calls),
                        "--concurrency",
                        Integer.toString(concurrency),
                        "--header",
                        ORGANISATION));
    }

    /** Returns the same run with another header; {@code {n}} stands for the call's number. */
    LoadRun withHeader(String name, String value) {
        return with("--header", name + "=" + value);
    }

    /** Returns the same run with a POST body from a file. */
    LoadRun withBody(Path file) {
        return with("--method", "POST").with("--body-file", file.toString());
    }

    /** Returns the same run with answers read as streams. */
    LoadRun streamed() {
        return with("--stream");
    }

    /** Runs the load and returns the client's report. */
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

    private LoadRun with(String... more) {
        List<String> arguments = new ArrayList<>(mArguments);
        arguments.addAll(List.of(more));
        return new LoadRun(mJar, mUrl, arguments);
    }
}
