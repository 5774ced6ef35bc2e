package org.oleandertrack.server.sidecar;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.fencing.FenceTable;
import org.oleandertrack.core.ledger.LedgerConfig;
import org.oleandertrack.core.ledger.MemoryLedger;
import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.ReleaseMemory;
import org.oleandertrack.protocol.message.Usage;
import org.oleandertrack.server.logging.CapturingWriter;
import org.oleandertrack.telemetry.metrics.Metric;
import org.oleandertrack.telemetry.metrics.MetricsRegistry;

/** Guards against engine memory that stays held although the ledger wants it freed. */
final class EngineMemoryServiceTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long POLL_MILLIS = 2;
    private static final Usage USAGE =
            Usage.newBuilder().setPromptTokens(7).setGeneratedTokens(3).build();

    private final AtomicLong mNow = new AtomicLong();
    private final FenceTable mFences = new FenceTable();
    private final MetricsRegistry mMetrics = new MetricsRegistry();
    private ScheduledExecutorService mTimer;
    private FakeEngine mEngine;
    private EngineMemoryService mService;

    @BeforeEach
    void startService() throws IOException {
        mTimer = Executors.newSingleThreadScheduledExecutor();
        mEngine = new FakeEngine();
        mService =
                new EngineMemoryService(
                        new EngineCacheClient(
                                HttpClient.newHttpClient(),
                                URI.create(mEngine.url()),
                                new ObjectMapper()),
                        new MemoryLedger(LedgerConfig.withIdleSeconds(600)),
                        mFences,
                        mTimer,
                        POLL_MILLIS,
                        mNow::get,
                        mMetrics);
        mService.start();
    }

    @AfterEach
    void stopAll() {
        mService.stop();
        mTimer.shutdownNow();
        mEngine.close();
    }

    /** Guards against a last call that leaves the program's memory behind. */
    @Test
    void lastCallFreesTheProgramAndLogsTheReason() {
        run("log-1", false);
        until(() -> mMetrics.gauge(Metric.CACHE_HELD).get() == 10);
        run("log-1", true);
        until(() -> mEngine.held().isEmpty());
        until(() -> !CapturingWriter.linesWith("memory of org/log-1: the program ended").isEmpty());
        until(() -> mMetrics.gauge(Metric.CACHE_HELD).get() == 0);
    }

    /** Guards against an order that misses sub-agents or reaches another program. */
    @Test
    void orderFreesTheProgramWithItsSubAgents() {
        run("p", false);
        run("p/sub", false);
        run("p2", false);
        mService.release(order("p", 0));
        until(() -> mEngine.held().equals(Map.of("org/p2", 10L)));
    }

    /** Guards against a former holder that frees the memory of a program it lost. */
    @Test
    void orderWithAnOldFencingNumberIsRefused() {
        run("p", false);
        run("q", false);
        assertTrue(mFences.admit(5, 8));
        mService.release(order("p", 7));
        mService.release(order("q", 8));
        until(() -> !mEngine.held().containsKey("org/q"));
        awaitReads(2);
        assertFalse(mEngine.released().contains("org/p"));
    }

    /** Guards against a release that the engine refused and that is not repeated. */
    @Test
    void failedReleaseIsRepeated() {
        mEngine.failReleases(2);
        run("p", true);
        until(() -> mEngine.released().size() == 1);
        awaitReads(2);
        assertEquals(List.of("org/p"), mEngine.released());
        mNow.addAndGet(SECOND / 4);
        until(() -> mEngine.released().size() == 2);
        mNow.addAndGet(SECOND / 2);
        until(() -> mEngine.held().isEmpty());
    }

    /** Guards against memory that the engine stores after the release. */
    @Test
    void storeAfterTheEndIsFreed() {
        run("p", true);
        until(() -> mEngine.held().isEmpty());
        mNow.addAndGet(100 * SECOND);
        awaitReads(10);
        mEngine.store("org/p", 20);
        until(() -> mEngine.held().isEmpty());
    }

    /** Guards against memory whose event was lost, which only the gap in the numbers shows. */
    @Test
    void lostEventLeadsToAnotherRelease() {
        run("p", true);
        until(() -> mEngine.held().isEmpty());
        awaitReads(5);
        mEngine.storeAndLoseEvent("org/p", 20);
        mEngine.store("org/other", 1);
        awaitReads(5);
        // Less than the time after which an owner that has ended is released anyway.
        mNow.addAndGet(SECOND);
        until(() -> mEngine.held().equals(Map.of("org/other", 1L)));
    }

    /** Guards against memory of abandoned programs, also of those from before a restart. */
    @Test
    void idleOwnersAreFreed() {
        mEngine.store("org/unknown", 30);
        run("p", false);
        until(() -> mMetrics.gauge(Metric.CACHE_HELD).get() == 40);
        mNow.addAndGet(600 * SECOND);
        until(() -> mEngine.held().isEmpty());
    }

    /** Guards against one program that takes the whole cache. */
    @Test
    void ownerAboveHalfTheCacheIsFreedAfterItsCall() {
        mEngine.setCapacity(100);
        run("small", false);
        mService.callStarted(call("large", false));
        mEngine.store("org/large", 51);
        until(() -> mMetrics.gauge(Metric.CACHE_HELD).get() >= 61);
        awaitReads(2);
        assertEquals(List.of(), mEngine.released());
        mService.callEnded(call("large", false), USAGE);
        until(() -> mEngine.held().equals(Map.of("org/small", 10L)));
    }

    /** Guards against a stop that drops releases which were due. */
    @Test
    void stopSendsDueReleases() {
        for (int i = 0; i < 20; i++) {
            run("p" + i, true);
        }
        mService.stop();
        assertEquals(Map.of(), mEngine.held());
    }

    private void run(String program, boolean last) {
        mService.callStarted(call(program, last));
        mEngine.store("org/" + program, 10);
        mService.callEnded(call(program, last), USAGE);
    }

    private static Call call(String program, boolean last) {
        return Call.newBuilder()
                .setOrganisation("org")
                .setProgram(program)
                .setEndProgram(last)
                .build();
    }

    private static ReleaseMemory order(String program, long fence) {
        return ReleaseMemory.newBuilder()
                .setOrganisation("org")
                .setProgram(program)
                .setShard(5)
                .setFence(fence)
                .build();
    }

    /** Waits until the service has read events that many times more. */
    private void awaitReads(int count) {
        int before = mEngine.reads();
        until(() -> mEngine.reads() >= before + count);
    }

    /** The limit is generous: only a hang reaches it. */
    private static void until(BooleanSupplier condition) {
        await().atMost(60, TimeUnit.SECONDS).until(condition::getAsBoolean);
    }
}
