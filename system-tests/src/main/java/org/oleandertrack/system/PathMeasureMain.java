package org.oleandertrack.system;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Measures the cost of the path on loopback: the same calls sent to a target directly and through
 * entry host and sidecar, in one run. Prints a table with ratios.
 */
public final class PathMeasureMain {

    private static final String SERVICE_PATH = "/services/register/lookup";
    private static final int WARM_UP_CALLS = 20_000;

    private final LocalDeployment mDeployment;
    private final DeploymentFiles mFiles;
    private final PrintStream mOutput;
    private final ObjectMapper mMapper = new ObjectMapper();

    private PathMeasureMain(LocalDeployment deployment, DeploymentFiles files, PrintStream output) {
        mDeployment = deployment;
        mFiles = files;
        mOutput = output;
    }

    /** Takes the repository's root and a folder for settings and logs. */
    public static void main(String[] args) throws IOException {
        DeploymentFiles files = new DeploymentFiles(Path.of(args[0]), Path.of(args[1]));
        try (LocalDeployment deployment = new LocalDeployment(files, new HttpCaller())) {
            PathMeasureMain measure = new PathMeasureMain(deployment, files, System.out);
            measure.start();
            measure.run();
            deployment.stopAll();
        }
    }

    // Operations

    private void start() {
        mDeployment.startPlatform();
        mDeployment.startEngine("engine-a", "agent-small", "--generated-tokens-per-second", "50");
        mDeployment.startService("register", "register");
        mDeployment.startSidecar("sidecar-a", "zone-1", "engine-a");
        mDeployment.startSidecar("sidecar-r", "zone-1", "register");
        mDeployment.startEntry("entry-1", "zone-1");
        mDeployment.publishHosts();
        mDeployment.awaitReady("entry-1");
    }

    private void run() throws IOException {
        URI direct = mDeployment.address("register").resolve("/lookup");
        URI path = mDeployment.address("entry-1").resolve(SERVICE_PATH);
        load(direct, WARM_UP_CALLS, 16);
        load(path, WARM_UP_CALLS, 16);
        mOutput.println("| calls | concurrency | p50 us | p99 us | calls/s | errors |");
        mOutput.println("| --- | --- | --- | --- | --- | --- |");
        JsonNode directOne = report("direct", direct, 5_000, 1);
        JsonNode pathOne = report("through entry host and sidecar", path, 5_000, 1);
        report("direct", direct, 40_000, 32);
        report("through entry host and sidecar", path, 40_000, 32);
        long added = pathOne.path("p99Micros").asLong() - directOne.path("p99Micros").asLong();
        mOutput.println("added latency p99 at concurrency 1: " + added + " us");
        for (String name : List.of("entry-1", "sidecar-r", "sidecar-a")) {
            mOutput.println("resident memory of " + name + ": " + residentKilobytes(name) + " kB");
        }
    }

    // Helpers

    private JsonNode report(String name, URI uri, int calls, int concurrency) throws IOException {
        JsonNode result = load(uri, calls, concurrency);
        mOutput.printf(
                "| %s | %d | %s | %s | %s | %s |%n",
                name,
                concurrency,
                result.path("p50Micros"),
                result.path("p99Micros"),
                result.path("callsPerSecond"),
                result.path("errors"));
        return result;
    }

    private JsonNode load(URI uri, int calls, int concurrency) throws IOException {
        List<String> arguments =
                new ArrayList<>(
                        List.of(
                                "load",
                                "--url",
                                uri.toString(),
                                "--calls",
                                Integer.toString(calls),
                                "--concurrency",
                                Integer.toString(concurrency),
                                "--header",
                                "Oleandertrack-Organisation=kaasik-paern"));
        List<String> command =
                ManagedProcess.javaCommand(mFiles.standinsJar(), JvmOptions.STANDIN, arguments);
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return mMapper.readTree(output);
    }

    private long residentKilobytes(String name) throws IOException {
        Path status = Path.of("/proc", Long.toString(mDeployment.process(name).pid()), "status");
        return Files.readAllLines(status).stream()
                .filter(line -> line.startsWith("VmRSS:"))
                .map(line -> line.replaceAll("\\D", ""))
                .mapToLong(Long::parseLong)
                .findFirst()
                .orElse(0);
    }
}
