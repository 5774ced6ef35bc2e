package org.oleandertrack.server.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.queue.OrganisationWeights;
import org.oleandertrack.core.queue.QueueConfig;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.protocol.message.Call;

/** Tests the queue of a target that runs one call at a time. */
final class CallSchedulerTest implements CallScheduler.Listener {

    private static final int MAX_WAITING_CALLS = 2;
    private static final long LATEST_START_NANOS = 1_000;

    private final List<String> mStarted = new ArrayList<>();
    private final List<String> mRefused = new ArrayList<>();
    private long mNowNanos;
    private final CallScheduler mScheduler =
            new CallScheduler(
                    QueueConfig.forSlots(1).withMaxEntries(MAX_WAITING_CALLS, MAX_WAITING_CALLS),
                    OrganisationWeights.EQUAL,
                    () -> mNowNanos);

    @Override
    public boolean onStart(SidecarCall call) {
        mStarted.add(call.id());
        return true;
    }

    @Override
    public void onRefused(SidecarCall call, ResultCode code, long retryAfterMillis) {
        assertTrue(retryAfterMillis > 0);
        mRefused.add(call.id() + " " + code);
    }

    /** Guards against more running calls than slots, and against a slot that is never freed. */
    @Test
    void nextCallStartsWhenASlotIsFree() {
        SidecarCall first = offer(1);
        offer(2);
        assertEquals(List.of("1"), mStarted);
        assertEquals(1, mScheduler.load().getRunning());
        assertEquals(1, mScheduler.load().getQueued());
        mScheduler.finish(first, 1, this);
        assertEquals(List.of("1", "2"), mStarted);
    }

    /** Guards against a target that gets more requests than the rate that it states. */
    @Test
    void callsStartNoFasterThanTheTargetStates() {
        CallScheduler scheduler =
                new CallScheduler(
                        QueueConfig.forSlots(100).withMaxEntries(100, 100),
                        OrganisationWeights.EQUAL,
                        () -> mNowNanos);
        scheduler.limitRate(OptionalDouble.of(2));
        for (int i = 1; i <= 20; i++) {
            scheduler.offer(call(i, TimeUnit.SECONDS.toNanos(60)), this);
        }
        for (int i = 0; i < 40; i++) {
            mNowNanos += TimeUnit.MILLISECONDS.toNanos(100);
            scheduler.startPaced(this);
        }
        assertTrue(mStarted.size() >= 8 && mStarted.size() <= 9, mStarted.toString());
        scheduler.limitRate(OptionalDouble.empty());
        scheduler.startPaced(this);
        assertEquals(20, mStarted.size());
    }

    /** Guards against a queue that grows without limit. */
    @Test
    void fullQueueRefusesTheNextCall() {
        for (int i = 1; i <= MAX_WAITING_CALLS + 2; i++) {
            offer(i);
        }
        assertEquals(1, mRefused.size());
        assertTrue(mRefused.getFirst().startsWith("4 "), mRefused.getFirst());
        assertEquals(MAX_WAITING_CALLS, mScheduler.load().getQueued());
    }

    /** Guards against a call that starts after its start deadline, when the caller has given up. */
    @Test
    void expiredCallIsRefusedAndNeverStarts() {
        SidecarCall first = offer(1);
        offer(2);
        mNowNanos = LATEST_START_NANOS + 1;
        mScheduler.refuseExpired(this);
        assertEquals(List.of("2 DEADLINE_EXCEEDED"), mRefused);
        mScheduler.finish(first, 1, this);
        assertEquals(List.of("1"), mStarted);
        assertEquals(0, mScheduler.load().getQueued());
    }

    /**
     * Guards against a cancelled call that still starts, and against the cancellation of a running
     * call that frees its slot while the target is still busy with it.
     */
    @Test
    void onlyWaitingCallsAreRemoved() {
        SidecarCall first = offer(1);
        SidecarCall second = offer(2);
        mScheduler.remove(second);
        mScheduler.remove(first);
        assertEquals(1, mScheduler.load().getRunning());
        mScheduler.finish(first, 1, this);
        assertEquals(List.of("1"), mStarted);
        assertTrue(mRefused.isEmpty());
    }

    /** Guards against calls accepted during shutdown, and against waiting calls dropped by it. */
    @Test
    void closedSchedulerRefusesNewCallsAndRunsTheEarlierOnes() {
        SidecarCall first = offer(1);
        SidecarCall second = offer(2);
        mScheduler.close();
        offer(3);
        assertEquals(List.of("3 SHUTTING_DOWN"), mRefused);
        mScheduler.finish(first, 1, this);
        mScheduler.finish(second, 1, this);
        assertEquals(List.of("1", "2"), mStarted);
        mScheduler.awaitIdle();
    }

    /** Guards against a shutdown that does not wait for the last running call. */
    @Test
    void awaitIdleReturnsOnlyAfterTheLastCall() throws Exception {
        SidecarCall first = offer(1);
        SidecarCall second = offer(2);
        CompletableFuture<Void> idle = new CompletableFuture<>();
        Thread waitingThread =
                Thread.ofPlatform()
                        .start(
                                () -> {
                                    mScheduler.awaitIdle();
                                    idle.complete(null);
                                });
        Awaitility.await().until(() -> waitingThread.getState() == Thread.State.WAITING);
        mScheduler.remove(second);
        assertFalse(idle.isDone());
        mScheduler.finish(first, 1, this);
        idle.get(10, TimeUnit.SECONDS);
    }

    private SidecarCall offer(long sequence) {
        SidecarCall call = call(sequence, LATEST_START_NANOS);
        mScheduler.offer(call, this);
        return call;
    }

    private SidecarCall call(long sequence, long latestStartNanos) {
        Call head =
                Call.newBuilder()
                        .setAttemptId("attempt-" + sequence)
                        .setOrganisation("org")
                        .setStartDeadlineReceiverNanos(latestStartNanos)
                        .build();
        return SidecarCall.of(new FakeInboundCall(head), sequence, mNowNanos);
    }
}
