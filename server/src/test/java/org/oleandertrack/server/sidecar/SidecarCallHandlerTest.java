package org.oleandertrack.server.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.fencing.FenceTable;
import org.oleandertrack.core.queue.OrganisationWeights;
import org.oleandertrack.core.queue.QueueConfig;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.Execution;
import org.oleandertrack.protocol.message.ReleaseMemory;
import org.oleandertrack.protocol.message.Usage;

/** The checks before a call reaches the target. A call that fails one is proved not to have run. */
final class SidecarCallHandlerTest {

    private static final long LATEST_START = 1_000;
    private static final int SHARD = 3;
    private static final int MAX_WAITING = 20_000;

    private final ScheduledExecutorService mTimer = Executors.newSingleThreadScheduledExecutor();
    private final FakeHttpClient mTarget = new FakeHttpClient();
    private final AttemptRegistry mAttempts = new AttemptRegistry();
    private long mNowNanos;
    private int mCount;
    private int mCallsInMemory;
    private final CallGate mGate =
            new CallGate(
                    QueueConfig.forSlots(1).withMaxEntries(MAX_WAITING, MAX_WAITING),
                    OrganisationWeights.EQUAL,
                    () -> mNowNanos);
    private final SidecarCallHandler mHandler =
            new SidecarCallHandler(
                    new TargetClient(mTarget, URI.create("http://127.0.0.1:1"), new ObjectMapper()),
                    mGate,
                    new FenceTable(),
                    mAttempts,
                    new CountingMemory(),
                    mTimer,
                    () -> mNowNanos);

    @AfterEach
    void stop() {
        mTimer.shutdownNow();
    }

    /** Guards against a place that a call keeps after its end. */
    @Test
    void callsRunOneAfterTheOther() {
        FakeInboundCall first = offer(head());
        FakeInboundCall second = offer(head());
        assertEquals(1, mTarget.requests().size());
        mTarget.end(0);
        assertEquals(0, first.end().getResultCode());
        assertEquals(Execution.EXECUTION_RUN, first.end().getExecution());
        mTarget.end(1);
        assertEquals(0, second.end().getResultCode());
        mGate.awaitIdle();
    }

    /** Guards against a dispatch of a frozen holder that arrives after its lease ran out. */
    @Test
    void lateCallIsNotRun() {
        mNowNanos = LATEST_START + 1;
        assertRefused(ResultCode.DEADLINE_EXCEEDED, offer(head()));
    }

    /** Guards against a call that was in time on arrival but waited beyond its latest start. */
    @Test
    void callThatWaitedTooLongIsNotRun() {
        offer(head());
        FakeInboundCall waiting = offer(head());
        mNowNanos = LATEST_START + 1;
        mTarget.end(0);
        mGate.refuseExpired(mHandler);
        assertEquals(1, mTarget.requests().size());
        assertEquals(ResultCode.DEADLINE_EXCEEDED.number(), waiting.end().getResultCode());
        assertEquals(Execution.EXECUTION_NOT_RUN, waiting.end().getExecution());
    }

    /**
     * Guards against calls of a holder that was replaced, also by one that came while it waited.
     */
    @Test
    void olderFencingNumberIsNotRun() {
        offer(head().setShard(SHARD).setFence(7));
        mTarget.end(0);
        FakeInboundCall other = offer(head().setShard(SHARD + 1).setFence(6));
        mTarget.end(1);
        assertEquals(0, other.end().getResultCode());
        FakeInboundCall stale = offer(head().setShard(SHARD).setFence(6));
        assertEquals(2, mTarget.requests().size());
        assertEquals(ResultCode.STALE_FENCE.number(), stale.end().getResultCode());
        assertEquals(Execution.EXECUTION_NOT_RUN, stale.end().getExecution());
        offer(head().setShard(SHARD).setFence(7));
        assertEquals(3, mTarget.requests().size());
    }

    /** Guards against a second run of an attempt that arrives twice. */
    @Test
    void attemptSeenBeforeIsNotRun() {
        offer(head().setAttemptId("a"));
        mTarget.end(0);
        FakeInboundCall again = offer(head().setAttemptId("a"));
        assertEquals(1, mTarget.requests().size());
        assertEquals(Execution.EXECUTION_NOT_RUN, again.end().getExecution());
        assertEquals(org.oleandertrack.core.result.Execution.RUN, mAttempts.query("a"));
    }

    /** Guards against a run of an attempt after it was reported as not run. */
    @Test
    void attemptReportedAsNotRunIsNotRun() {
        assertEquals(org.oleandertrack.core.result.Execution.NOT_RUN, mAttempts.query("a"));
        assertRefused(ResultCode.STALE_FENCE, offer(head().setAttemptId("a")));
    }

    /** Guards against new work at a target that is leaving. */
    @Test
    void closedGateDoesNotRun() {
        mGate.close();
        assertRefused(ResultCode.SHUTTING_DOWN, offer(head()));
    }

    /** Guards against a call that runs although its caller left before it started. */
    @Test
    void cancelledCallDoesNotStart() {
        offer(head());
        FakeInboundCall waiting = offer(head());
        waiting.cancel();
        mTarget.end(0);
        assertEquals(1, mTarget.requests().size());

        FakeInboundCall cancelledBefore = new FakeInboundCall(head().build());
        cancelledBefore.cancel();
        FakeInboundCall running = offer(head());
        mHandler.onCall(cancelledBefore);
        mTarget.end(1);
        assertTrue(running.hasEnded());
        assertEquals(2, mTarget.requests().size());
        mGate.awaitIdle();
    }

    /** Guards against a call that never ends and keeps its place, because of a path or header. */
    @Test
    void callThatCannotBeSentIsNotRun() {
        FakeInboundCall badPath = offer(head().setPath("/a?b=c|d e"));
        assertRefused(ResultCode.INVALID_REQUEST, badPath);
        FakeInboundCall badMethod = offer(head().setMethod("A B"));
        assertRefused(ResultCode.INVALID_REQUEST, badMethod);
        assertEquals(0, mCallsInMemory);
        offer(head());
        assertEquals(1, mTarget.requests().size());
    }

    /** Guards against "not run" for a call that the target may have seen. */
    @Test
    void failedExchangeTellsWhatIsKnown() {
        FakeInboundCall broken = offer(head());
        mTarget.fail(0, new IOException("reset"));
        assertEquals(ResultCode.TARGET_FAILED.number(), broken.end().getResultCode());
        assertEquals(Execution.EXECUTION_UNKNOWN, broken.end().getExecution());

        FakeInboundCall unreachable = offer(head());
        mTarget.fail(1, new ConnectException("refused"));
        assertEquals(ResultCode.TARGET_UNREACHABLE.number(), unreachable.end().getResultCode());
        assertEquals(Execution.EXECUTION_NOT_RUN, unreachable.end().getExecution());
    }

    /** Guards against a stack overflow when many waiting calls are refused one after the other. */
    @Test
    void manyRefusalsInARowDoNotNest() {
        offer(head().setShard(SHARD).setFence(7));
        List<FakeInboundCall> waiting = new ArrayList<>();
        for (int i = 0; i < MAX_WAITING; i++) {
            waiting.add(offer(head().setShard(SHARD).setFence(6)));
        }
        mTarget.end(0);
        for (FakeInboundCall call : waiting) {
            assertEquals(Execution.EXECUTION_NOT_RUN, call.end().getExecution());
        }
        mGate.awaitIdle();
    }

    private Call.Builder head() {
        return Call.newBuilder()
                .setAttemptId("attempt-" + ++mCount)
                .setOrganisation("org")
                .setMethod("GET")
                .setPath("/")
                .setTimeoutMillis(60_000)
                .setStartDeadlineReceiverNanos(LATEST_START);
    }

    private FakeInboundCall offer(Call.Builder head) {
        FakeInboundCall call = new FakeInboundCall(head.build());
        mHandler.onCall(call);
        return call;
    }

    private void assertRefused(ResultCode code, FakeInboundCall call) {
        assertTrue(call.hasEnded());
        assertEquals(code.number(), call.end().getResultCode());
        assertEquals(Execution.EXECUTION_NOT_RUN, call.end().getExecution());
        assertFalse(call.end().getMessage().isEmpty());
        assertTrue(mTarget.requests().isEmpty());
    }

    /** Counts the calls that keep their program's engine memory in use. */
    private final class CountingMemory implements EngineMemory {

        @Override
        public void callStarted(Call head) {
            mCallsInMemory++;
        }

        @Override
        public void callEnded(Call head, Usage usage) {
            mCallsInMemory--;
        }

        @Override
        public void release(ReleaseMemory order) {}
    }
}
