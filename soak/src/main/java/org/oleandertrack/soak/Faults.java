package org.oleandertrack.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.standins.published.PublishedServer;
import org.oleandertrack.standins.published.PublishedStore;

/**
 * Strikes gateways, the store, servers and connections in series that overlap. The same seed makes
 * the same series. Used by one thread; the ends of faults come on a timer of its own.
 */
final class Faults implements AutoCloseable {

    private static final int MIN_GAP_MILLIS = 150;
    private static final int MAX_GAP_MILLIS = 900;
    private static final int MIN_FAULT_MILLIS = 300;
    private static final int MAX_FAULT_MILLIS = 2_500;
    private static final long MIN_TIMEOUT_MILLIS = 3_000;
    private static final List<String> STORE_FAULTS =
            List.of(
                    "{\"mode\":\"down\",\"downAs\":\"close\"}",
                    "{\"mode\":\"down\",\"downAs\":\"refuse\"}",
                    "{\"mode\":\"down\",\"downAs\":\"limit\"}",
                    "{\"mode\":\"down\",\"downAs\":\"hang\"}",
                    "{\"delayMillis\":200}",
                    "{\"loseReplies\":5}",
                    "{\"lateWrites\":4,\"lateMillis\":1500}");

    private final List<Gateway> mGateways;
    private final List<PublishedServer> mServers;
    private final List<FaultProxy> mServerPaths;
    private final PublishedStore mStore;
    private final SplittableRandom mRandom;
    private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(2);
    private final StringBuilder mLog = new StringBuilder();
    private final long mStartNanos = System.nanoTime();
    private long mVersion = 1;

    Faults(
            List<Gateway> gateways,
            List<PublishedServer> servers,
            List<FaultProxy> serverPaths,
            PublishedStore store,
            SplittableRandom random) {
        mGateways = gateways;
        mServers = servers;
        mServerPaths = serverPaths;
        mStore = store;
        mRandom = random;
    }

    // Life-cycle

    /** Strikes for a while, then waits until all faults have ended. */
    void run(long millis) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < endNanos) {
            strike();
            Thread.sleep(mRandom.nextInt(MIN_GAP_MILLIS, MAX_GAP_MILLIS));
        }
        mTimer.shutdown();
        if (!mTimer.awaitTermination(1, TimeUnit.MINUTES)) {
            throw new IllegalStateException("faults did not end");
        }
        healAll();
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
    }

    /** Returns what was done, a line each, with the seconds since the start. */
    synchronized String log() {
        return mLog.toString();
    }

    // Helpers

    private void strike() {
        Gateway gateway = mGateways.get(mRandom.nextInt(mGateways.size()));
        int server = mRandom.nextInt(mServers.size());
        int durationMillis = mRandom.nextInt(MIN_FAULT_MILLIS, MAX_FAULT_MILLIS);
        switch (mRandom.nextInt(9)) {
            case 0 -> kill(gateway, durationMillis);
            case 1 -> freeze(gateway, durationMillis);
            case 2 -> stop(gateway);
            case 3 -> reload(gateway);
            case 4 -> harm(gateway.storePath(), "store path of " + gateway.name(), durationMillis);
            case 5 -> harmStore(durationMillis);
            case 6 -> harmServer(mServers.get(server), durationMillis);
            case 7 ->
                    harm(
                            mServerPaths.get(server),
                            "path to " + mServers.get(server).id(),
                            durationMillis);
            default -> change();
        }
    }

    private void kill(Gateway gateway, int downMillis) {
        note("kill " + gateway.name());
        synchronized (gateway) {
            gateway.process().kill();
        }
        later(downMillis, "start " + gateway.name(), () -> restart(gateway));
    }

    private void freeze(Gateway gateway, int millis) {
        note("freeze " + gateway.name());
        gateway.process().freeze();
        later(millis, "wake " + gateway.name(), () -> gateway.process().resume());
    }

    private void stop(Gateway gateway) {
        note("stop " + gateway.name());
        gateway.process().terminate();
        later(
                0,
                "start after a stop " + gateway.name(),
                () -> {
                    var _ = gateway.process().awaitExit();
                    restart(gateway);
                });
    }

    private static void restart(Gateway gateway) {
        synchronized (gateway) {
            if (!gateway.process().isAlive()) {
                gateway.start();
            }
        }
    }

    private void reload(Gateway gateway) {
        note("reload " + gateway.name());
        gateway.process().reload();
    }

    private void harm(FaultProxy path, String what, int millis) {
        FaultProxy.Mode[] modes = FaultProxy.Mode.values();
        FaultProxy.Mode mode = modes[mRandom.nextInt(1, modes.length)];
        note(what + " " + mode);
        path.setMode(mode);
        later(millis, what + " passes", () -> path.setMode(FaultProxy.Mode.PASS));
    }

    private void harmStore(int millis) {
        if (mRandom.nextInt(STORE_FAULTS.size() + 1) == 0) {
            note("store forgets its history");
            mStore.clearHistory();
            return;
        }
        String faults = STORE_FAULTS.get(mRandom.nextInt(STORE_FAULTS.size()));
        note("store " + faults);
        setStoreFaults(faults);
        later(millis, "store is well", () -> setStoreFaults("{}"));
    }

    private void harmServer(PublishedServer server, int millis) {
        PublishedServer.Mode[] modes = PublishedServer.Mode.values();
        PublishedServer.Mode mode = modes[mRandom.nextInt(1, modes.length)];
        note("server " + server.id() + " " + mode);
        server.setMode(mode);
        later(millis, server.id() + " is well", () -> server.setMode(PublishedServer.Mode.SOUND));
    }

    private void change() {
        mVersion += mRandom.nextInt(1, 4);
        note("configuration " + mVersion);
        mStore.configure(mVersion, MIN_TIMEOUT_MILLIS + mRandom.nextInt(1_000));
    }

    private void setStoreFaults(String json) {
        try {
            mStore.setFaults(json);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void healAll() {
        setStoreFaults("{}");
        mServers.forEach(server -> server.setMode(PublishedServer.Mode.SOUND));
        mServerPaths.forEach(path -> path.setMode(FaultProxy.Mode.PASS));
        for (Gateway gateway : mGateways) {
            gateway.storePath().setMode(FaultProxy.Mode.PASS);
            gateway.process().resume();
            restart(gateway);
        }
        note("all faults have ended");
    }

    private void later(int millis, String what, Runnable end) {
        var _ =
                mTimer.schedule(
                        () -> {
                            note(what);
                            end.run();
                        },
                        millis,
                        TimeUnit.MILLISECONDS);
    }

    private synchronized void note(String what) {
        double seconds = (System.nanoTime() - mStartNanos) / 1e9;
        mLog.append("%8.3f %s%n".formatted(seconds, what));
    }
}
