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

/** One run with one seed: processes, callers, faults and the checks at the end. */
public final class SoakRun {

    /**
     * Size of a run.
     *
     * @param gateways number of gateway processes
     * @param callers number of callers at once
     * @param faultMillis time in which faults strike
     */
    public record Size(int gateways, int callers, long faultMillis) {}

    private static final int ENGINES = 4;
    private static final int ORDER_SERVERS = 3;
    // Every process serves again within this time after the last fault; the users' sites state 12
    // to 15 s.
    private static final long RECOVERY_NANOS = TimeUnit.SECONDS.toNanos(12);
    private static final int CHECKS_AFTER_RECOVERY = 5;
    private static final long POLL_MILLIS = 50;
    // Each run has loopback addresses of its own, so that several may run side by side.
    private static final int ADDRESSES = 250;

    private final long mSeed;
    private final Size mSize;
    private final Path mJar;
    private final Path mFolder;

    /**
     * Prepares a run.
     *
     * @param jar the gateway's shaded jar
     * @param folder for settings and logs
     */
    public SoakRun(long seed, Size size, Path jar, Path folder) {
        mSeed = seed;
        mSize = size;
        mJar = jar;
        mFolder = folder;
    }

    /** Runs and returns a line for each broken promise. */
    public List<String> run() throws IOException, InterruptedException {
        SplittableRandom random = new SplittableRandom(mSeed);
        ExecutionLog runs = new ExecutionLog();
        Promises promises = new Promises(runs);
        List<AutoCloseable> open = new ArrayList<>();
        try (PublishedStore store = new PublishedStore()) {
            store.configure(1, 4_000);
            List<PublishedServer> servers = new ArrayList<>();
            List<FaultProxy> paths = new ArrayList<>();
            for (int i = 0; i < ENGINES + ORDER_SERVERS; i++) {
                PublishedServer server = new PublishedServer("i-" + i, runs);
                FaultProxy path = new FaultProxy(server.port());
                open.add(server);
                open.add(path);
                store.register(server, i < ENGINES ? "engine" : "orders", path.port(), false);
                servers.add(server);
                paths.add(path);
            }
            List<Gateway> gateways = startGateways(store, open);
            Callers callers = new Callers(gateways, promises);
            for (Gateway gateway : gateways) {
                awaitServed(gateway, callers, promises);
            }
            callers.start(mSize.callers(), random.split());
            try (Faults faults = new Faults(gateways, servers, paths, store, random.split())) {
                faults.run(mSize.faultMillis());
                Files.writeString(mFolder.resolve("faults.txt"), faults.log());
            }
            for (Gateway gateway : gateways) {
                awaitServed(gateway, callers, promises);
            }
            callers.stop();
            promises.checkRuns();
        } finally {
            close(open);
        }
        Files.writeString(mFolder.resolve("outcomes.txt"), promises.counts().toString());
        return promises.broken();
    }

    // Helpers

    private List<Gateway> startGateways(PublishedStore store, List<AutoCloseable> open)
            throws IOException {
        int network = 1 + (int) (ProcessHandle.current().pid() % ADDRESSES);
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < mSize.gateways(); i++) {
            addresses.add("127." + network + "." + (1 + mSeed % ADDRESSES) + "." + (10 + i));
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
            open.add(gateway);
        }
        return gateways;
    }

    private static void awaitServed(Gateway gateway, Callers callers, Promises promises)
            throws InterruptedException {
        long endNanos = System.nanoTime() + RECOVERY_NANOS;
        boolean served =
                awaits(gateway::isReady, endNanos)
                        && awaits(() -> callers.isServed(gateway), endNanos);
        for (int i = 0; served && i < CHECKS_AFTER_RECOVERY; i++) {
            served = callers.isServed(gateway);
        }
        if (!served) {
            promises.broken("RECOVER: " + gateway.name() + " does not serve without any fault");
        }
    }

    private static boolean awaits(BooleanSupplier condition, long endNanos)
            throws InterruptedException {
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                return false;
            }
            Thread.sleep(POLL_MILLIS);
        }
        return true;
    }

    private static void close(List<AutoCloseable> open) {
        for (AutoCloseable closeable : open.reversed()) {
            try {
                closeable.close();
            } catch (Exception e) {
                throw new IllegalStateException("a part of the run did not end", e);
            }
        }
    }
}
