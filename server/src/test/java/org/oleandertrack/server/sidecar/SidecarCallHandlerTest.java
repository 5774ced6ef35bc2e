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

/**
 * Tests the checks of a call before dispatch; a call that fails one must be reported as not run.
 */
final class SidecarCallHandlerTest {

    private static final long LATEST_START_NANOS = 1_000;
    private static final int SHARD = 3;
    private static final int MAX_WAITING_CALLS = 20_000;

    private final ScheduledExecutorService mTimer = Executors.newSingleThreadScheduledExecutor();
    private final FakeHttpClient mTarget = new FakeHttpClient();
    private final AttemptRegistry mAttempts = new AttemptRegistry();
    private long mNowNanos;
    private int mAttemptCount;
    private int mOpenCallCount;
    private final CallScheduler mScheduler =
            new CallScheduler(
                    QueueConfig.forSlots(1).withMaxEntries(MAX_WAITING_CALLS, MAX_WAITING_CALLS),
                    OrganisationWeights.EQUAL,
                    () -> mNowNanos);
    private final SidecarCallHandler mHandler =
            new SidecarCallHandler(
                    new TargetClient(
                            () -> mTarget, URI.create("http://127.0.0.1:1"), new ObjectMapper()),
                    mScheduler,
                    new FenceTable(),
                    mAttempts,
                    new CallCounter(),
                    mTimer,
                    () -> mNowNanos);

    @AfterEach
    void stop() {
        mTimer.shutdownNow();
    }

    /** Guards against a slot that is not freed when a call ends. */
    @Test
    void callsRunOneAfterTheOther() {
        FakeInboundCall first = offer(head());
        FakeInboundCall second = offer(head());
        assertEquals(1, mTarget.requests().size());
        mTarget.complete(0);
        assertEquals(0, first.end().getResultCode());
        assertEquals(Execution.EXECUTION_RUN, first.end().getExecution());
        mTarget.complete(1);
        assertEquals(0, second.end().getResultCode());
        mScheduler.awaitIdle();
    }

    /**
     * Guards against running a call that a paused shard holder sent after its lease had expired,
     * when another host may have taken its shard over.
     */
    @Test
    void lateCallIsNotRun() {
        mNowNanos = LATEST_START_NANOS + 1;
        assertRefused(ResultCode.DEADLINE_EXCEEDED, offer(head()));
    }

    /** Guards against running a call that arrived in time but waited beyond its start deadline. */
    @Test
    void callThatWaitedTooLongIsNotRun() {
        offer(head());
        FakeInboundCall waiting = offer(head());
        mNowNanos = LATEST_START_NANOS + 1;
        mTarget.complete(0);
        mScheduler.refuseExpired(mHandler);
        assertEquals(1, mTarget.requests().size());
        assertEquals(ResultCode.DEADLINE_EXCEEDED.number(), waiting.end().getResultCode());
        assertEquals(Execution.EXECUTION_NOT_RUN, waiting.end().getExecution());
    }

    /**
     * Guards against calls from a former holder of a shard, once a call of the new holder with a
     * higher fencing number has been seen.
     */
    @Test
    void callWithAnOlderFencingNumberIsNotRun() {
        offer(head().setShard(SHARD).setFence(7));
        mTarget.complete(0);
        FakeInboundCall other = offer(head().setShard(SHARD + 1).setFence(6));
        mTarget.complete(1);
        assertEquals(0, other.end().getResultCode());
        FakeInboundCall stale = offer(head().setShard(SHARD).setFence(6));
        assertEquals(2, mTarget.requests().size());
        assertEquals(ResultCode.STALE_FENCE.number(), stale.end().getResultCode());
        assertEquals(Execution.EXECUTION_NOT_RUN, stale.end().getExecution());
        offer(head().setShard(SHARD).setFence(7));
        assertEquals(3, mTarget.requests().size());
    }

    /** Guards against running an attempt twice when it arrives twice. */
    @Test
    void attemptThatAlreadyStartedIsNotRunAgain() {
        offer(head().setAttemptId("a"));
        mTarget.complete(0);
        FakeInboundCall again = offer(head().setAttemptId("a"));
        assertEquals(1, mTarget.requests().size());
        assertEquals(Execution.EXECUTION_NOT_RUN, again.end().getExecution());
        assertEquals(org.oleandertrack.core.result.Execution.RUN, mAttempts.resolve("a"));
    }

    /** Guards against running an attempt that was already reported as not run. */
    @Test
    void attemptReportedAsNotRunIsNotRun() {
        assertEquals(org.oleandertrack.core.result.Execution.NOT_RUN, mAttempts.resolve("a"));
        assertRefused(ResultCode.STALE_FENCE, offer(head().setAttemptId("a")));
    }

    /** Guards against accepting calls while the sidecar shuts down. */
    @Test
    void callAfterCloseIsNotRun() {
        mScheduler.close();
        assertRefused(ResultCode.SHUTTING_DOWN, offer(head()));
    }

    /** Guards against running a call that the caller cancelled before it started. */
    @Test
    void cancelledCallDoesNotStart() {
        offer(head());
        FakeInboundCall waiting = offer(head());
        waiting.cancel();
        mTarget.complete(0);
        assertEquals(1, mTarget.requests().size());

        FakeInboundCall cancelledBefore = new FakeInboundCall(head().build());
        cancelledBefore.cancel();
        FakeInboundCall running = offer(head());
        mHandler.onCall(cancelledBefore);
        mTarget.complete(1);
        assertTrue(running.hasEnded());
        assertEquals(2, mTarget.requests().size());
        mScheduler.awaitIdle();
    }

    /** Guards against a call that HTTP cannot express and that then occupies its slot forever. */
    @Test
    void callThatCannotBeSentIsNotRun() {
        FakeInboundCall badPath = offer(head().setPath("/a?b=c|d e"));
        assertRefused(ResultCode.INVALID_REQUEST, badPath);
        FakeInboundCall badMethod = offer(head().setMethod("A B"));
        assertRefused(ResultCode.INVALID_REQUEST, badMethod);
        assertEquals(0, mOpenCallCount);
        offer(head());
        assertEquals(1, mTarget.requests().size());
    }

    /** Guards against reporting a call as not run although the target may have received it. */
    @Test
    void failedExchangeReportsWhetherTheCallMayHaveRun() {
        FakeInboundCall broken = offer(head());
        mTarget.fail(0, new IOException("reset"));
        assertEquals(ResultCode.TARGET_FAILED.number(), broken.end().getResultCode());
        assertEquals(Execution.EXECUTION_UNKNOWN, broken.end().getExecution());

        FakeInboundCall unreachable = offer(head());
        mTarget.fail(1, new ConnectException("refused"));
        assertEquals(ResultCode.TARGET_UNREACHABLE.number(), unreachable.end().getResultCode());
        assertEquals(Execution.EXECUTION_NOT_RUN, unreachable.end().getExecution());
    }

    /** Guards against a stack overflow when many waiting calls are refused one after another. */
    @Test
    void manyRefusalsInARowDoNotOverflowTheStack() {
        offer(head().setShard(SHARD).setFence(7));
        List<FakeInboundCall> waiting = new ArrayList<>();
        for (int i = 0; i < MAX_WAITING_CALLS; i++) {
            waiting.add(offer(head().setShard(SHARD).setFence(6)));
        }
        mTarget.complete(0);
        for (FakeInboundCall call : waiting) {
            assertEquals(Execution.EXECUTION_NOT_RUN, call.end().getExecution());
        }
        mScheduler.awaitIdle();
    }

    private Call.Builder head() {
        return Call.newBuilder()
                .setAttemptId("attempt-" + ++mAttemptCount)
                .setOrganisation("org")
                .setMethod("GET")
                .setPath("/")
                .setTimeoutMillis(60_000)
                .setStartDeadlineReceiverNanos(LATEST_START_NANOS);
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

    /** Counts the calls that have started and not ended yet. */
    private final class CallCounter implements EngineMemoryTracker {

        @Override
        public void callStarted(Call head) {
            mOpenCallCount++;
        }

        @Override
        public void callEnded(Call head, Usage usage) {
            mOpenCallCount--;
        }

        @Override
        public void release(ReleaseMemory order) {}
    }
}
