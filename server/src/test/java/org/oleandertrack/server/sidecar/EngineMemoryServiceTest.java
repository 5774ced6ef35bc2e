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

/** Guards against engine memory that stays in use although the ledger says it is to be freed. */
final class EngineMemoryServiceTest {

    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long POLL_MILLIS = 2;
    private static final Usage USAGE =
            Usage.newBuilder().setPromptTokens(7).setGeneratedTokens(3).build();

    private final AtomicLong mNowNanos = new AtomicLong();
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
                                HttpClient::newHttpClient,
                                URI.create(mEngine.url()),
                                new ObjectMapper()),
                        new MemoryLedger(LedgerConfig.withIdleSeconds(600)),
                        mFences,
                        mTimer,
                        POLL_MILLIS,
                        mNowNanos::get,
                        mMetrics);
        mService.start();
    }

    @AfterEach
    void stopAll() {
        mService.stop();
        mTimer.shutdownNow();
        mEngine.close();
    }

    /** Guards against memory of a program that is not freed after the program's last call. */
    @Test
    void lastCallFreesTheMemoryAndLogsTheReason() {
        runCall("log-1", false);
        awaitTrue(() -> mMetrics.gauge(Metric.CACHE_HELD).get() == 10);
        runCall("log-1", true);
        awaitTrue(() -> mEngine.heldTokens().isEmpty());
        awaitTrue(
                () ->
                        !CapturingWriter.linesWith("memory of org/log-1: the program ended")
                                .isEmpty());
        awaitTrue(() -> mMetrics.gauge(Metric.CACHE_HELD).get() == 0);
    }

    /**
     * Guards against a release request that misses the program's sub-agents, or that also frees a
     * program whose id merely starts with the same characters.
     */
    @Test
    void releaseRequestFreesTheProgramWithItsSubAgents() {
        runCall("p", false);
        runCall("p/sub", false);
        runCall("p2", false);
        mService.release(releaseRequest("p", 0));
        awaitTrue(() -> mEngine.heldTokens().equals(Map.of("org/p2", 10L)));
    }

    /** Guards against a former shard holder that frees memory of programs it no longer holds. */
    @Test
    void releaseRequestWithAnOldFencingNumberIsRefused() {
        runCall("p", false);
        runCall("q", false);
        assertTrue(mFences.admit(5, 8));
        mService.release(releaseRequest("p", 7));
        mService.release(releaseRequest("q", 8));
        awaitTrue(() -> !mEngine.heldTokens().containsKey("org/q"));
        awaitReads(2);
        assertFalse(mEngine.releaseRequests().contains("org/p"));
    }

    /** Guards against a failed release that is not retried, or is retried without backoff. */
    @Test
    void failedReleaseIsRetriedWithBackoff() {
        mEngine.failReleases(2);
        runCall("p", true);
        awaitTrue(() -> mEngine.releaseRequests().size() == 1);
        awaitReads(2);
        assertEquals(List.of("org/p"), mEngine.releaseRequests());
        mNowNanos.addAndGet(SECOND_NANOS / 4);
        awaitTrue(() -> mEngine.releaseRequests().size() == 2);
        mNowNanos.addAndGet(SECOND_NANOS / 2);
        awaitTrue(() -> mEngine.heldTokens().isEmpty());
    }

    /** Guards against memory that the engine stores for a program after the program's release. */
    @Test
    void memoryStoredAfterTheEndIsFreed() {
        runCall("p", true);
        awaitTrue(() -> mEngine.heldTokens().isEmpty());
        mNowNanos.addAndGet(100 * SECOND_NANOS);
        awaitReads(10);
        mEngine.store("org/p", 20);
        awaitTrue(() -> mEngine.heldTokens().isEmpty());
    }

    /** Guards against memory whose event was lost; only a gap in the sequence numbers shows it. */
    @Test
    void lostEventLeadsToAnotherRelease() {
        runCall("p", true);
        awaitTrue(() -> mEngine.heldTokens().isEmpty());
        awaitReads(5);
        mEngine.storeWithoutEvent("org/p", 20);
        mEngine.store("org/other", 1);
        awaitReads(5);
        // Shorter than the idle time after which the ended program would be released anyway.
        mNowNanos.addAndGet(SECOND_NANOS);
        awaitTrue(() -> mEngine.heldTokens().equals(Map.of("org/other", 1L)));
    }

    /**
     * Guards against memory of abandoned programs that is never freed, including programs that this
     * process does not know because they ran before its restart.
     */
    @Test
    void memoryOfIdleProgramsIsFreed() {
        mEngine.store("org/unknown", 30);
        runCall("p", false);
        awaitTrue(() -> mMetrics.gauge(Metric.CACHE_HELD).get() == 40);
        mNowNanos.addAndGet(600 * SECOND_NANOS);
        awaitTrue(() -> mEngine.heldTokens().isEmpty());
    }

    /** Guards against a single program that fills the whole cache. */
    @Test
    void programAboveHalfTheCacheIsFreedAfterItsCall() {
        mEngine.setCapacity(100);
        runCall("small", false);
        mService.callStarted(call("large", false));
        mEngine.store("org/large", 51);
        awaitTrue(() -> mMetrics.gauge(Metric.CACHE_HELD).get() >= 61);
        awaitReads(2);
        assertEquals(List.of(), mEngine.releaseRequests());
        mService.callEnded(call("large", false), USAGE);
        awaitTrue(() -> mEngine.heldTokens().equals(Map.of("org/small", 10L)));
    }

    /** Guards against a stop that discards releases that were due. */
    @Test
    void stopSendsDueReleases() {
        for (int i = 0; i < 20; i++) {
            runCall("p" + i, true);
        }
        mService.stop();
        assertEquals(Map.of(), mEngine.heldTokens());
    }

    private void runCall(String program, boolean endsProgram) {
        mService.callStarted(call(program, endsProgram));
        mEngine.store("org/" + program, 10);
        mService.callEnded(call(program, endsProgram), USAGE);
    }

    private static Call call(String program, boolean endsProgram) {
        return Call.newBuilder()
                .setOrganisation("org")
                .setProgram(program)
                .setEndProgram(endsProgram)
                .build();
    }

    private static ReleaseMemory releaseRequest(String program, long fence) {
        return ReleaseMemory.newBuilder()
                .setOrganisation("org")
                .setProgram(program)
                .setShard(5)
                .setFence(fence)
                .build();
    }

    /** Waits until the service has read the events the given number of times from now on. */
    private void awaitReads(int count) {
        int before = mEngine.eventReads();
        awaitTrue(() -> mEngine.eventReads() >= before + count);
    }

    /** Waits for a condition; the timeout is so long that only a hang exceeds it. */
    private static void awaitTrue(BooleanSupplier condition) {
        await().atMost(60, TimeUnit.SECONDS).until(condition::getAsBoolean);
    }
}
