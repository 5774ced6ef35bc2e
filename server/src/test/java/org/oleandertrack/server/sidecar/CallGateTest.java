package org.oleandertrack.server.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.queue.OrganisationWeights;
import org.oleandertrack.core.queue.QueueConfig;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.protocol.message.Call;

/** Calls that wait for a target with one place. */
final class CallGateTest implements CallGate.Listener {

    private static final int MAX_WAITING = 2;
    private static final long LATEST_START = 1_000;

    private final List<String> mStarted = new ArrayList<>();
    private final List<String> mRefused = new ArrayList<>();
    private long mNowNanos;
    private final CallGate mGate =
            new CallGate(
                    QueueConfig.forSlots(1).withMaxEntries(MAX_WAITING, MAX_WAITING),
                    OrganisationWeights.EQUAL,
                    () -> mNowNanos);

    @Override
    public boolean onStart(WaitingCall call) {
        mStarted.add(call.id());
        return true;
    }

    @Override
    public void onRefused(WaitingCall call, ResultCode code, long retryAfterMillis) {
        assertTrue(retryAfterMillis > 0);
        mRefused.add(call.id() + " " + code);
    }

    /** Guards against more calls at the target than it has places for, and a place lost. */
    @Test
    void nextCallStartsWhenAPlaceIsFree() {
        WaitingCall first = offer(1);
        offer(2);
        assertEquals(List.of("1"), mStarted);
        assertEquals(1, mGate.load().getRunning());
        assertEquals(1, mGate.load().getQueued());
        mGate.finished(first, 1, this);
        assertEquals(List.of("1", "2"), mStarted);
    }

    /** Guards against a queue without bound. */
    @Test
    void fullQueueRefuses() {
        for (int i = 1; i <= MAX_WAITING + 2; i++) {
            offer(i);
        }
        assertEquals(1, mRefused.size());
        assertTrue(mRefused.getFirst().startsWith("4 "), mRefused.getFirst());
        assertEquals(MAX_WAITING, mGate.load().getQueued());
    }

    /** Guards against a call that starts after its caller has given up waiting for the start. */
    @Test
    void expiredCallIsRefusedAndNeverStarts() {
        WaitingCall first = offer(1);
        offer(2);
        mNowNanos = LATEST_START + 1;
        mGate.refuseExpired(this);
        assertEquals(List.of("2 DEADLINE_EXCEEDED"), mRefused);
        mGate.finished(first, 1, this);
        assertEquals(List.of("1"), mStarted);
        assertEquals(0, mGate.load().getQueued());
    }

    /** Guards against a cancelled call that takes a place, or a running one that loses it. */
    @Test
    void onlyAWaitingCallIsRemoved() {
        WaitingCall first = offer(1);
        WaitingCall second = offer(2);
        mGate.remove(second);
        mGate.remove(first);
        assertEquals(1, mGate.load().getRunning());
        mGate.finished(first, 1, this);
        assertEquals(List.of("1"), mStarted);
        assertTrue(mRefused.isEmpty());
    }

    /** Guards against new work during a stop, and waiting calls that a stop drops. */
    @Test
    void closedGateRefusesNewCallsAndRunsThoseItHas() {
        WaitingCall first = offer(1);
        WaitingCall second = offer(2);
        mGate.close();
        offer(3);
        assertEquals(List.of("3 SHUTTING_DOWN"), mRefused);
        mGate.finished(first, 1, this);
        mGate.finished(second, 1, this);
        assertEquals(List.of("1", "2"), mStarted);
        mGate.awaitIdle();
    }

    /** Guards against a stop that cuts off a running call. */
    @Test
    void idleOnlyAfterTheLastCall() throws Exception {
        WaitingCall first = offer(1);
        WaitingCall second = offer(2);
        CompletableFuture<Void> idle = new CompletableFuture<>();
        Thread waiter =
                Thread.ofPlatform()
                        .start(
                                () -> {
                                    mGate.awaitIdle();
                                    idle.complete(null);
                                });
        Awaitility.await().until(() -> waiter.getState() == Thread.State.WAITING);
        mGate.remove(second);
        assertFalse(idle.isDone());
        mGate.finished(first, 1, this);
        idle.get(10, TimeUnit.SECONDS);
    }

    private WaitingCall offer(long sequence) {
        Call head =
                Call.newBuilder()
                        .setAttemptId("attempt-" + sequence)
                        .setOrganisation("org")
                        .setStartDeadlineReceiverNanos(LATEST_START)
                        .build();
        WaitingCall call = WaitingCall.of(new FakeInboundCall(head), sequence, mNowNanos);
        mGate.offer(call, this);
        return call;
    }
}
