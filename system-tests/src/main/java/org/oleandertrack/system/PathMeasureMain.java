package org.oleandertrack.system;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Measures the overhead of calls that pass through an entry host and a sidecar on loopback. It
 * compares their latency and throughput with those of calls that are sent to the target directly in
 * the same run. It also measures processor time, memory and store writes per call, turn and
 * program, from which {@code docs/CAPACITY.md} calculates capacity.
 */
public final class PathMeasureMain {

    private static final String SERVICE_PATH = "/services/register/lookup";
    private static final String MODEL_PATH = "/v1/chat/completions";
    private static final int WARM_UP_CALLS = 20_000;
    private static final int SINGLE_CONNECTION_CALLS = 5_000;
    private static final int PARALLEL_CALLS = 60_000;
    private static final int TURNS = 5_000;
    private static final int STREAMS = 640;
    private static final int STREAM_TOKENS = 50;
    private static final int IDLE_SECONDS = 10;

    private final LocalDeployment mDeployment;
    private final DeploymentFiles mFiles;
    private final HttpCaller mHttp;
    private final PrintStream mOutput;
    private final ObjectMapper mMapper = new ObjectMapper();

    private PathMeasureMain(
            LocalDeployment deployment,
            DeploymentFiles files,
            HttpCaller http,
            PrintStream output) {
        mDeployment = deployment;
        mFiles = files;
        mHttp = http;
        mOutput = output;
    }

    /**
     * Runs all measurements and prints their results.
     *
     * @param args root of the repository, and a folder for settings and logs
     */
    public static void main(String[] args) throws IOException {
        DeploymentFiles files = new DeploymentFiles(Path.of(args[0]), Path.of(args[1]));
        HttpCaller http = new HttpCaller();
        try (LocalDeployment deployment = new LocalDeployment(files, http)) {
            PathMeasureMain measure = new PathMeasureMain(deployment, files, http, System.out);
            measure.start();
            measure.measureCalls();
            measure.measureStreams();
            measure.measurePrograms();
            measure.measureIdle();
            deployment.stopAll();
        }
    }

    // Operations

    private void start() {
        mDeployment.startPlatform();
        mDeployment.startEngine(
                "engine-a",
                "agent-small",
                "--slots",
                "64",
                "--generated-tokens-per-second",
                "200",
                "--prefill-tokens-per-second",
                "1000000");
        mDeployment.startService("register", "register");
        mDeployment.startSidecar("sidecar-a", "zone-1", "engine-a");
        mDeployment.startSidecar("sidecar-r", "zone-1", "register");
        mDeployment.startEntry("entry-1", "zone-1");
        mDeployment.publishHosts();
        mDeployment.awaitReady("entry-1");
    }

    private void measureCalls() throws IOException {
        URI directUri = mDeployment.address("register").resolve("/lookup");
        URI entryUri = mDeployment.address("entry-1").resolve(SERVICE_PATH);
        load(directUri, WARM_UP_CALLS, 16).run();
        load(entryUri, WARM_UP_CALLS, 16).run();
        mOutput.println(
                "| calls to a plain service | connections | p50 us | p99 us | calls/s | errors |");
        mOutput.println("| --- | --- | --- | --- | --- | --- |");
        JsonNode directSingleReport =
                report("direct", load(directUri, SINGLE_CONNECTION_CALLS, 1), 1);
        JsonNode entrySingleReport =
                report(
                        "through entry host and sidecar",
                        load(entryUri, SINGLE_CONNECTION_CALLS, 1),
                        1);
        report("direct", load(directUri, PARALLEL_CALLS, 32), 32);
        long entryMicros = cpuMicros("entry-1");
        long sidecarMicros = cpuMicros("sidecar-r");
        JsonNode entryParallelReport =
                report("through entry host and sidecar", load(entryUri, PARALLEL_CALLS, 32), 32);
        long calls = Math.max(1, entryParallelReport.path("count").asLong());
        print(
                "added latency p99, 1 connection, us",
                p99Micros(entrySingleReport) - p99Micros(directSingleReport));
        print("entry host processor us per call", (cpuMicros("entry-1") - entryMicros) / calls);
        print("sidecar processor us per call", (cpuMicros("sidecar-r") - sidecarMicros) / calls);
        for (String name : List.of("entry-1", "sidecar-r", "sidecar-a")) {
            print("resident kB of " + name, residentKilobytes(name));
        }
    }

    private void measureStreams() throws IOException {
        Path body =
                mFiles.write(
                        "stream.json",
                        "{\"model\":\"agent-small\",\"stream\":true,\"max_tokens\":50,"
                                + "\"messages\":[{\"role\":\"user\",\"content\":\"plan\"}]}");
        URI entryUri = mDeployment.address("entry-1").resolve(MODEL_PATH);
        URI directUri = mDeployment.address("engine-a").resolve(MODEL_PATH);
        reportStreams("direct", load(directUri, STREAMS, 16).withBody(body).withStreaming().run());
        long entryMicros = cpuMicros("entry-1");
        long sidecarMicros = cpuMicros("sidecar-a");
        JsonNode result = load(entryUri, STREAMS, 16).withBody(body).withStreaming().run();
        reportStreams("through entry host and sidecar", result);
        long tokens = Math.max(1, result.path("count").asLong() * STREAM_TOKENS);
        print(
                "entry host processor ns per token",
                1000 * (cpuMicros("entry-1") - entryMicros) / tokens);
        print(
                "sidecar processor ns per token",
                1000 * (cpuMicros("sidecar-a") - sidecarMicros) / tokens);
    }

    private void reportStreams(String name, JsonNode result) {
        long streams = Math.max(1, result.path("count").asLong());
        print(name + ": streams", streams);
        print(name + ": errors", result.path("errors").asLong());
        print(name + ": arrivals per stream", result.path("chunkArrivals").asLong() / streams);
        print(name + ": first byte p99 us", result.path("firstByteP99Micros").asLong());
    }

    private void measurePrograms() throws IOException {
        Path body =
                mFiles.write(
                        "turn.json",
                        "{\"model\":\"agent-small\",\"max_tokens\":5,"
                                + "\"messages\":[{\"role\":\"user\",\"content\":\"check\"}]}");
        URI entryUri = mDeployment.address("entry-1").resolve(MODEL_PATH);
        JsonNode before = platformStats();
        long kilobytesBefore = residentKilobytes("entry-1");
        long entryMicros = cpuMicros("entry-1");
        JsonNode result =
                load(entryUri, TURNS, 64)
                        .withBody(body)
                        .withHeader("Oleandertrack-Program", "p{n}")
                        .withHeader("Oleandertrack-Turn", "1")
                        .run();
        JsonNode after = platformStats();
        double turns = Math.max(1, result.path("count").asLong());
        print("programs of one turn", (long) turns);
        print("program errors", result.path("errors").asLong());
        mOutput.println("platform before: " + before);
        mOutput.println("platform after: " + after);
        print("turns per second", result.path("callsPerSecond").asLong());
        print("turn p99 us", p99Micros(result));
        print(
                "entry host processor us per turn",
                (long) ((cpuMicros("entry-1") - entryMicros) / turns));
        print(
                "entry host resident bytes per program",
                (long) (1024 * (residentKilobytes("entry-1") - kilobytesBefore) / turns));
    }

    private void measureIdle() throws IOException {
        long entryMicros = cpuMicros("entry-1");
        long sidecarMicros = cpuMicros("sidecar-a");
        JsonNode before = platformStats();
        LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(IDLE_SECONDS));
        mOutput.println("platform before idle time: " + before);
        mOutput.println("platform after idle time: " + platformStats());
        print(
                "entry host idle processor us per second",
                (cpuMicros("entry-1") - entryMicros) / IDLE_SECONDS);
        print(
                "sidecar idle processor us per second",
                (cpuMicros("sidecar-a") - sidecarMicros) / IDLE_SECONDS);
    }

    // Helpers

    private LoadRun load(URI uri, int calls, int connections) {
        return LoadRun.of(mFiles.standinsJar(), uri, calls, connections);
    }

    private JsonNode report(String name, LoadRun run, int connections) throws IOException {
        JsonNode result = run.run();
        mOutput.printf(
                "| %s | %d | %d | %d | %d | %d |%n",
                name,
                connections,
                result.path("p50Micros").asLong(),
                p99Micros(result),
                result.path("callsPerSecond").asLong(),
                result.path("errors").asLong());
        return result;
    }

    private JsonNode platformStats() throws IOException {
        URI uri = mDeployment.address("platform").resolve("/control/stats");
        return mMapper.readTree(mHttp.send("GET", uri, Map.of(), "").body());
    }

    private long cpuMicros(String name) throws IOException {
        return ProcessStats.cpuMicros(mDeployment.process(name));
    }

    private long residentKilobytes(String name) throws IOException {
        return ProcessStats.residentKilobytes(mDeployment.process(name));
    }

    private static long p99Micros(JsonNode result) {
        return result.path("p99Micros").asLong();
    }

    private void print(String name, long value) {
        mOutput.println(name + ": " + value);
    }
}
