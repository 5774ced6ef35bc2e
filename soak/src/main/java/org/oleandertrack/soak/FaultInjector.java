package org.oleandertrack.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.standins.published.PublishedServer;
import org.oleandertrack.standins.published.PublishedStore;
import org.oleandertrack.system.ManagedProcess;

/**
 * Injects random, overlapping faults into gateways, the store, servers and the connections between
 * them. The seed determines the kind, place, duration and order of the faults. Faults are started
 * by the one thread that calls {@link #run} and ended by timer threads.
 */
final class FaultInjector implements AutoCloseable {

    private static final int MIN_FAULT_INTERVAL_MILLIS = 150;
    private static final int MAX_FAULT_INTERVAL_MILLIS = 900;
    private static final int MIN_FAULT_MILLIS = 300;
    private static final int MAX_FAULT_MILLIS = 2_500;
    private static final int MAX_STOPS_IN_CALM = 6;
    private static final long MIN_ROUTE_TIMEOUT_MILLIS = 3_000;
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
    private final List<FaultProxy> mServerProxies;
    private final PublishedStore mStore;
    private final GuaranteeChecker mGuarantees;
    private final SplittableRandom mRandom;
    // More than the stops that can be under way: each waits for the end of a process, which may be
    // frozen until another task resumes it.
    private static final int TIMER_THREADS = 32;

    private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(TIMER_THREADS);
    private final StringBuilder mLog = new StringBuilder();
    private final long mStartNanos = System.nanoTime();
    private long mConfigVersion = 1;

    FaultInjector(
            List<Gateway> gateways,
            List<PublishedServer> servers,
            List<FaultProxy> serverProxies,
            PublishedStore store,
            GuaranteeChecker guarantees,
            SplittableRandom random) {
        mGateways = gateways;
        mServers = servers;
        mServerProxies = serverProxies;
        mStore = store;
        mGuarantees = guarantees;
        mRandom = random;
    }

    // Life-cycle

    /**
     * Injects faults for the given time, then waits until all of them have ended.
     *
     * @throws IllegalStateException if a fault does not end within a minute
     */
    void run(long millis) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < endNanos) {
            injectFault();
            Thread.sleep(mRandom.nextInt(MIN_FAULT_INTERVAL_MILLIS, MAX_FAULT_INTERVAL_MILLIS));
        }
        mTimer.shutdown();
        if (!mTimer.awaitTermination(1, TimeUnit.MINUTES)) {
            throw new IllegalStateException("the injected faults did not end within 1 minute");
        }
        endAllFaults();
    }

    /**
     * Stops some gateways, at moments that overlap, and starts each one again once its process has
     * ended. No other fault is active meanwhile.
     */
    void stopInCalm() throws InterruptedException {
        List<Thread> stops = new ArrayList<>();
        int count = Math.min(MAX_STOPS_IN_CALM, Math.max(1, mGateways.size() / 2));
        int first = mRandom.nextInt(mGateways.size());
        for (int i = 0; i < count; i++) {
            Gateway gateway = mGateways.get((first + i) % mGateways.size());
            Thread.sleep(mRandom.nextInt(MAX_FAULT_INTERVAL_MILLIS));
            record("stop in calm " + gateway.name());
            ManagedProcess stopped = gateway.terminate();
            stops.add(
                    Thread.startVirtualThread(
                            () -> {
                                int exitCode = stopped.awaitExit();
                                record(gateway.name() + " ended with code " + exitCode);
                                gateway.restart();
                            }));
        }
        for (Thread stop : stops) {
            stop.join();
        }
        mGateways.forEach(this::checkProcess);
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
    }

    /** Returns a line for the start and the end of each fault, with the seconds since the start. */
    synchronized String log() {
        return mLog.toString();
    }

    // Helpers

    private void injectFault() {
        Gateway gateway = mGateways.get(mRandom.nextInt(mGateways.size()));
        int server = mRandom.nextInt(mServers.size());
        int durationMillis = mRandom.nextInt(MIN_FAULT_MILLIS, MAX_FAULT_MILLIS);
        switch (mRandom.nextInt(12)) {
            case 0 -> kill(gateway, durationMillis);
            case 1 -> freeze(gateway, durationMillis);
            case 2 -> stop(gateway);
            case 3 -> reload(gateway);
            case 4 ->
                    injectConnectionFault(
                            gateway.storeProxy(),
                            "store connections of " + gateway.name(),
                            durationMillis);
            case 5 -> injectStoreFault(durationMillis);
            case 6, 7 -> injectServerFault(List.of(mServers.get(server)), durationMillis);
            case 8, 9 -> injectServerFault(mServers, durationMillis);
            case 10 ->
                    injectConnectionFault(
                            mServerProxies.get(server),
                            "connections to " + mServers.get(server).id(),
                            durationMillis);
            default -> changeConfiguration();
        }
    }

    private void kill(Gateway gateway, int downMillis) {
        record("kill " + gateway.name());
        checkProcess(gateway);
        gateway.kill();
        schedule(downMillis, "start " + gateway.name(), gateway::restart);
    }

    private void freeze(Gateway gateway, int millis) {
        record("freeze " + gateway.name());
        gateway.freeze();
        schedule(millis, "resume " + gateway.name(), gateway::resume);
    }

    private void stop(Gateway gateway) {
        record("stop " + gateway.name());
        checkProcess(gateway);
        // The gateway may have another process when the task runs.
        ManagedProcess stopped = gateway.terminate();
        schedule(
                0,
                "start after stop " + gateway.name(),
                () -> {
                    var _ = stopped.awaitExit();
                    gateway.restart();
                });
    }

    private void checkProcess(Gateway gateway) {
        if (gateway.hasEndedByItself()) {
            String line = gateway.name() + " ended by itself: " + gateway.process().awaitExit();
            record(line);
            mGuarantees.reportViolation("ENDED: " + line);
        }
    }

    private void reload(Gateway gateway) {
        record("reload " + gateway.name());
        gateway.process().reload();
    }

    private void injectConnectionFault(FaultProxy proxy, String description, int millis) {
        FaultProxy.Mode[] modes = FaultProxy.Mode.values();
        FaultProxy.Mode mode = modes[mRandom.nextInt(1, modes.length)];
        record(description + " " + mode);
        proxy.setMode(mode);
        schedule(millis, description + " works again", () -> proxy.setMode(FaultProxy.Mode.PASS));
    }

    private void injectStoreFault(int millis) {
        if (mRandom.nextInt(STORE_FAULTS.size() + 1) == 0) {
            record("store discards its change history");
            mStore.clearHistory();
            return;
        }
        String faults = STORE_FAULTS.get(mRandom.nextInt(STORE_FAULTS.size()));
        record("store " + faults);
        setStoreFaults(faults);
        schedule(millis, "store works again", () -> setStoreFaults("{}"));
    }

    private void injectServerFault(List<PublishedServer> servers, int millis) {
        PublishedServer.Mode[] modes = PublishedServer.Mode.values();
        PublishedServer.Mode mode = modes[mRandom.nextInt(1, modes.length)];
        String name = servers.size() == 1 ? "server " + servers.getFirst().id() : "all servers";
        record(name + " " + mode);
        setMode(servers, mode);
        schedule(millis, name + " works again", () -> setMode(servers, PublishedServer.Mode.SOUND));
    }

    private static void setMode(List<PublishedServer> servers, PublishedServer.Mode mode) {
        servers.forEach(server -> server.setMode(mode));
    }

    private void changeConfiguration() {
        mConfigVersion += mRandom.nextInt(1, 4);
        record("configuration " + mConfigVersion);
        mStore.configure(mConfigVersion, MIN_ROUTE_TIMEOUT_MILLIS + mRandom.nextInt(1_000));
    }

    private void setStoreFaults(String json) {
        try {
            mStore.setFaults(json);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void endAllFaults() {
        setStoreFaults("{}");
        setMode(mServers, PublishedServer.Mode.SOUND);
        mServerProxies.forEach(proxy -> proxy.setMode(FaultProxy.Mode.PASS));
        for (Gateway gateway : mGateways) {
            gateway.storeProxy().setMode(FaultProxy.Mode.PASS);
            gateway.resume();
            checkProcess(gateway);
            gateway.restart();
        }
        record("all faults have ended");
    }

    private void schedule(int millis, String description, Runnable action) {
        var _ =
                mTimer.schedule(
                        () -> {
                            record(description);
                            action.run();
                        },
                        millis,
                        TimeUnit.MILLISECONDS);
    }

    private synchronized void record(String description) {
        double seconds = (System.nanoTime() - mStartNanos) / 1e9;
        mLog.append("%8.3f %s%n".formatted(seconds, description));
    }
}
