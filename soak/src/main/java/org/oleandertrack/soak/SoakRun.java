package org.oleandertrack.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.oleandertrack.standins.published.ExecutionLog;
import org.oleandertrack.standins.published.PublishedServer;
import org.oleandertrack.standins.published.PublishedStore;

/**
 * A soak run with one seed: starts the gateways, runs callers under faults and checks the result.
 */
public final class SoakRun {

    /**
     * Size of a run.
     *
     * @param gateways number of gateway processes
     * @param callers number of concurrent callers
     * @param faultMillis time during which faults are injected
     */
    public record Size(int gateways, int callers, long faultMillis) {}

    private static final int ENGINES = 4;
    private static final int ORDER_SERVERS = 3;
    private static final int LOOKUP_SERVERS = 3;
    // Versions of the servers' software; they serve side by side, in turn.
    private static final List<String> VERSIONS = List.of("v1", "v2");
    // Each gateway must serve again within this time after the last fault has ended; operators
    // require 12 to 15 s.
    private static final long RECOVERY_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(12);
    // Time after the last fault from which a stop must not cut requests.
    private static final long CALM_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final int CHECKS_AFTER_RECOVERY = 5;
    private static final long POLL_INTERVAL_MILLIS = 50;
    // Limits the octets that are derived from the process id and the seed, so that concurrent
    // runs use different loopback addresses.
    private static final int ADDRESS_RANGE = 250;

    private final long mSeed;
    private final Size mSize;
    private final Path mJar;
    private final Path mFolder;

    /**
     * Prepares a run.
     *
     * @param seed seed of the load and of the faults
     * @param jar the gateway's shaded jar
     * @param folder folder for settings and logs
     */
    public SoakRun(long seed, Size size, Path jar, Path folder) {
        mSeed = seed;
        mSize = size;
        mJar = jar;
        mFolder = folder;
    }

    /** Runs the soak test and returns a line for each violated guarantee. */
    public List<String> run() throws IOException, InterruptedException {
        SplittableRandom random = new SplittableRandom(mSeed);
        ExecutionLog executionLog = new ExecutionLog();
        GuaranteeChecker guarantees = new GuaranteeChecker(executionLog, VERSIONS);
        List<AutoCloseable> closeables = new ArrayList<>();
        try (PublishedStore store = new PublishedStore()) {
            store.configure(1, 4_000);
            List<PublishedServer> servers = new ArrayList<>();
            List<FaultProxy> serverProxies = new ArrayList<>();
            for (int i = 0; i < ENGINES + ORDER_SERVERS + LOOKUP_SERVERS; i++) {
                PublishedServer server =
                        new PublishedServer(
                                "i-" + i, VERSIONS.get(i % VERSIONS.size()), executionLog);
                FaultProxy proxy = new FaultProxy(server.port());
                closeables.add(server);
                closeables.add(proxy);
                store.register(server, serviceOf(i), proxy.port(), false);
                servers.add(server);
                serverProxies.add(proxy);
            }
            List<Gateway> gateways = startGateways(store, closeables);
            Callers callers = new Callers(gateways, guarantees);
            for (Gateway gateway : gateways) {
                awaitService(gateway, callers, guarantees);
            }
            callers.start(mSize.callers(), random.split());
            try (FaultInjector faults =
                    new FaultInjector(
                            gateways, servers, serverProxies, store, guarantees, random.split())) {
                faults.run(mSize.faultMillis());
                long calmNanos = System.nanoTime() + CALM_NANOS;
                for (Gateway gateway : gateways) {
                    awaitService(gateway, callers, guarantees);
                }
                TimeUnit.NANOSECONDS.sleep(calmNanos - System.nanoTime());
                guarantees.beginCalm();
                faults.stopInCalm();
                for (Gateway gateway : gateways) {
                    awaitService(gateway, callers, guarantees);
                }
                Files.writeString(mFolder.resolve("faults.txt"), faults.log());
            }
            callers.stop();
            guarantees.checkExecutions();
        } finally {
            close(closeables);
        }
        Files.writeString(mFolder.resolve("outcomes.txt"), guarantees.outcomeCounts().toString());
        Files.write(mFolder.resolve("violations.txt"), guarantees.violations());
        return guarantees.violations();
    }

    // Helpers

    private List<Gateway> startGateways(PublishedStore store, List<AutoCloseable> closeables)
            throws IOException {
        int network = 1 + (int) (ProcessHandle.current().pid() % ADDRESS_RANGE);
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < mSize.gateways(); i++) {
            addresses.add("127." + network + "." + (1 + mSeed % ADDRESS_RANGE) + "." + (10 + i));
        }
        List<Gateway> gateways = new ArrayList<>();
        for (int i = 0; i < addresses.size(); i++) {
            Gateway gateway =
                    new Gateway(
                            "gateway-" + i,
                            addresses.get(i),
                            addresses,
                            mJar,
                            mFolder,
                            store.port());
            gateway.start();
            gateways.add(gateway);
            closeables.add(gateway);
        }
        return gateways;
    }

    private static String serviceOf(int server) {
        if (server < ENGINES) {
            return "engine";
        }
        return server < ENGINES + ORDER_SERVERS ? "orders" : "lookups";
    }

    private static void awaitService(Gateway gateway, Callers callers, GuaranteeChecker guarantees)
            throws InterruptedException {
        long endNanos = System.nanoTime() + RECOVERY_LIMIT_NANOS;
        boolean served =
                pollUntil(gateway::isReady, endNanos)
                        && pollUntil(() -> callers.sendCheckTurn(gateway), endNanos);
        for (int i = 0; served && i < CHECKS_AFTER_RECOVERY; i++) {
            served = callers.sendCheckTurn(gateway);
        }
        if (!served) {
            guarantees.reportViolation(
                    "RECOVER: " + gateway.name() + " does not serve although no fault is active");
        }
    }

    private static boolean pollUntil(BooleanSupplier condition, long endNanos)
            throws InterruptedException {
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                return false;
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        return true;
    }

    private static void close(List<AutoCloseable> closeables) {
        for (AutoCloseable closeable : closeables.reversed()) {
            try {
                closeable.close();
            } catch (Exception e) {
                throw new IllegalStateException(
                        "a process, proxy or server of the run could not be closed", e);
            }
        }
    }
}
