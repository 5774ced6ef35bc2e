package org.oleandertrack.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.placement.PlacementResult;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.message.Call;

/** Tests which attempt of a hedged call wins, which is cancelled, and the resulting execution. */
final class AttemptRaceTest {

    private static final org.oleandertrack.protocol.message.Execution NOT_RUN =
            org.oleandertrack.protocol.message.Execution.EXECUTION_NOT_RUN;
    private static final org.oleandertrack.protocol.message.Execution UNKNOWN =
            org.oleandertrack.protocol.message.Execution.EXECUTION_UNKNOWN;

    /** Recorded calls that a pool needs before it hedges. */
    private static final int MIN_HEDGE_SAMPLES = 40;

    private static final long LONG_MILLIS = 60_000;

    private final TargetPool mPool = new TargetPool("zone-a", Set::of, new Random(1), () -> 0);
    private final RecordingSink mSink = new RecordingSink();
    private final LinkedBlockingQueue<Attempt.QueuedEvent> mEventQueue =
            new LinkedBlockingQueue<>();
    private final FakeConnection mFirstPeer = new FakeConnection(call -> {});
    private final FakeConnection mSecondPeer = new FakeConnection(call -> {});

    /** Guards against a truncated response, and against credit that is not returned. */
    @Test
    void responseOfSingleAttemptIsForwarded() {
        AttemptRace.StartedAttempt first = startAttempt("t1", mFirstPeer);
        mFirstPeer.calls().getFirst().respond("abc");
        assertInstanceOf(
                AttemptResult.Completed.class, newRace(true).run(first, this::failOnHedge));
        assertEquals("abc", mSink.bodyText());
        assertEquals(3, mFirstPeer.calls().getFirst().consumedBytes());
    }

    /** Guards against a mix of two responses when the head of the losing attempt arrives late. */
    @Test
    void lateHeadOfTheLosingAttemptIsIgnored() {
        AttemptResult result =
                runHedged(
                        (first, second) -> {
                            second.respondHead(200);
                            first.respondHead(201);
                            first.respondBody("loser");
                            second.respondBody("winner");
                            first.respondEnd();
                            second.respondEnd();
                        });
        assertInstanceOf(AttemptResult.Completed.class, result);
        assertEquals("winner", mSink.bodyText());
        assertEquals(1, mSink.heads().size());
        assertTrue(mFirstPeer.calls().getFirst().isCancelled());
        assertFalse(mSecondPeer.calls().getFirst().isCancelled());
    }

    /** Guards against a failed race while the second attempt can still succeed. */
    @Test
    void otherAttemptContinuesAfterFailureOfOne() {
        AttemptResult result =
                runHedged(
                        (first, second) -> {
                            first.loseConnection(true);
                            second.respond("second");
                        });
        assertInstanceOf(AttemptResult.Completed.class, result);
        assertEquals("second", mSink.bodyText());
    }

    /** Guards against "not run" if only the attempt that failed last was not run. */
    @Test
    void executionIsUnknownIfOneAttemptMayHaveRun() {
        assertEquals(
                Execution.UNKNOWN,
                assertFailed(
                                runHedged(
                                        (first, second) -> {
                                            first.loseConnection(true);
                                            second.loseConnection(false);
                                        }))
                        .execution());
    }

    /** Guards against "unknown" although it is certain that no attempt was run. */
    @Test
    void executionIsNotRunIfNoAttemptRan() {
        assertEquals(
                Execution.NOT_RUN,
                assertFailed(
                                runHedged(
                                        (first, second) -> {
                                            first.respondFailure(
                                                    ResultCode.QUEUE_FULL.number(), NOT_RUN);
                                            second.loseConnection(false);
                                        }))
                        .execution());
    }

    /** Guards against "not run" for a call whose cancelled attempt may have been run. */
    @Test
    void executionIsUnknownIfTheCancelledAttemptMayHaveRun() {
        AttemptResult result =
                runHedged(
                        (first, second) -> {
                            second.respondHead(200);
                            second.respondFailure(ResultCode.TARGET_FAILED.number(), NOT_RUN);
                        });
        assertEquals(Execution.UNKNOWN, assertFailed(result).execution());
    }

    /** Guards against a server error of a model engine that is sent to the caller as response. */
    @Test
    void serverErrorOfAModelIsAFailedAttempt() {
        AttemptRace.StartedAttempt first = startAttempt("t1", mFirstPeer);
        mFirstPeer.calls().getFirst().respond("x");
        mEventQueue.clear();
        mFirstPeer.calls().getFirst().respondHead(503);
        AttemptResult.Failed failed = assertFailed(newRace(true).run(first, this::failOnHedge));
        assertEquals(ResultCode.TARGET_FAILED, failed.code());
        assertEquals(Execution.UNKNOWN, failed.execution());
        assertTrue(mFirstPeer.calls().getFirst().isCancelled());
        assertTrue(mSink.heads().isEmpty());
    }

    /** Guards against an error response of a service that is replaced or leads to a retry. */
    @Test
    void serverErrorOfAServiceIsPassedThrough() {
        AttemptRace.StartedAttempt first = startAttempt("t1", mFirstPeer);
        mFirstPeer.calls().getFirst().respondHead(503);
        mFirstPeer.calls().getFirst().respondEnd();
        CallerRequest request = TestRequests.serviceCall(true, LONG_MILLIS);
        assertInstanceOf(
                AttemptResult.Completed.class,
                newRace(request, LONG_MILLIS).run(first, this::failOnHedge));
        assertEquals(503, mSink.heads().getFirst().getStatus());
    }

    /** Guards against an attempt that continues after the caller has cancelled the call. */
    @Test
    void cancellationByCallerCancelsTheAttempt() {
        AttemptRace.StartedAttempt first = startAttempt("t1", mFirstPeer);
        mSink.cancelCall();
        AttemptResult.Failed failed = assertFailed(newRace(true).run(first, this::failOnHedge));
        assertEquals(ResultCode.CANCELLED, failed.code());
        assertEquals(Execution.UNKNOWN, failed.execution());
        assertTrue(mFirstPeer.calls().getFirst().isCancelled());
    }

    /**
     * Guards against a hedge that continues after a cancellation by the caller. The cancellation
     * event carries the first attempt, which has already ended here.
     */
    @Test
    void cancellationByCallerCancelsTheSecondAttemptAfterTheFirstHasEnded() {
        AttemptResult.Failed failed =
                assertFailed(
                        runHedged(
                                (first, second) -> {
                                    first.loseConnection(true);
                                    second.respondHead(200);
                                    mSink.cancelCall();
                                    second.respondBody("after the caller left");
                                    second.respondEnd();
                                }));
        assertEquals(ResultCode.CANCELLED, failed.code());
        assertEquals(Execution.RUN, failed.execution());
        assertTrue(mSecondPeer.calls().getFirst().isCancelled());
        assertEquals("", mSink.bodyText());
    }

    /** Guards against an attempt that continues after its response could not be passed on. */
    @Test
    void failureOfTheSinkCancelsTheAttempt() {
        for (RuntimeException failure :
                new RuntimeException[] {
                    new ResultException(ResultCode.MEMORY_LIMIT_REACHED, "large"),
                    new IllegalStateException("unexpected")
                }) {
            AttemptRace.StartedAttempt first = startAttempt("t1", mFirstPeer);
            mFirstPeer.calls().getLast().respondHead(200);
            mFirstPeer.calls().getLast().respondBody("a");
            mSink.failBodyWith(failure);
            AttemptRace race = newRace(true);
            assertThrows(failure.getClass(), () -> race.run(first, this::failOnHedge));
            assertTrue(mFirstPeer.calls().getLast().isCancelled());
        }
    }

    /** Guards against a call without response that outlives its deadline or counts as not run. */
    @Test
    void executionIsUnknownWithoutResponseInTime() {
        AttemptRace.StartedAttempt first = startAttempt("t1", mFirstPeer);
        AttemptResult.Failed failed =
                assertFailed(
                        newRace(TestRequests.modelCall(true, 0), LONG_MILLIS)
                                .run(first, this::failOnHedge));
        assertEquals(ResultCode.TARGET_TIMEOUT, failed.code());
        assertEquals(Execution.UNKNOWN, failed.execution());
        assertTrue(mFirstPeer.calls().getFirst().isCancelled());
    }

    /** Guards against a second attempt of a call that may not be repeated. */
    @Test
    void callThatMayNotBeRepeatedIsNotHedged() {
        hedgeAtOnce();
        AttemptRace.StartedAttempt first = startAttempt("t1", mFirstPeer);
        AttemptResult.Failed failed =
                assertFailed(
                        newRace(TestRequests.modelCall(false, 1), LONG_MILLIS)
                                .run(first, this::failOnHedge));
        assertEquals(ResultCode.TARGET_TIMEOUT, failed.code());
    }

    /** Guards against a caller that waits for the rest of a response that has stopped arriving. */
    @Test
    void stalledResponseFailsAsRun() {
        AttemptRace.StartedAttempt first = startAttempt("t1", mFirstPeer);
        mFirstPeer.calls().getFirst().respondHead(200);
        AttemptResult.Failed failed =
                assertFailed(
                        newRace(TestRequests.modelCall(true, LONG_MILLIS), 0)
                                .run(first, this::failOnHedge));
        assertEquals(ResultCode.STALLED, failed.code());
        assertEquals(Execution.RUN, failed.execution());
        assertTrue(mFirstPeer.calls().getFirst().isCancelled());
    }

    /** Guards against "not run" if an end has an unknown result code and unknown execution. */
    @Test
    void endWithUnknownResultCodeIsInternalError() {
        AttemptRace.StartedAttempt first = startAttempt("t1", mFirstPeer);
        mFirstPeer.calls().getFirst().respondFailure(99_999, UNKNOWN);
        AttemptResult.Failed failed = assertFailed(newRace(true).run(first, this::failOnHedge));
        assertEquals(ResultCode.INTERNAL_ERROR, failed.code());
        assertEquals(Execution.UNKNOWN, failed.execution());
    }

    // Helpers

    /** Runs a call whose first attempt is hedged, and sends the events after the hedge started. */
    private AttemptResult runHedged(
            BiConsumer<FakeConnection.ReceivedCall, FakeConnection.ReceivedCall> sendEvents) {
        hedgeAtOnce();
        return newRace(true)
                .run(
                        startAttempt("t1", mFirstPeer),
                        (attemptedNodes, lateNanos) -> {
                            assertEquals(Set.of("t1"), attemptedNodes);
                            AttemptRace.StartedAttempt second = startAttempt("t2", mSecondPeer);
                            sendEvents.accept(
                                    mFirstPeer.calls().getFirst(), mSecondPeer.calls().getFirst());
                            return Optional.of(second);
                        });
    }

    /** Records response times of 0, so that an attempt is hedged at once. */
    private void hedgeAtOnce() {
        for (int i = 0; i < MIN_HEDGE_SAMPLES; i++) {
            mPool.recordResponseStart(false, 0, 0);
        }
    }

    private Optional<AttemptRace.StartedAttempt> failOnHedge(
            Set<String> attemptedNodes, long lateNanos) {
        throw new AssertionError("the call must not be hedged");
    }

    private AttemptRace newRace(boolean repeatable) {
        return newRace(TestRequests.modelCall(repeatable, LONG_MILLIS), LONG_MILLIS);
    }

    private AttemptRace newRace(CallerRequest request, long stallTimeoutMillis) {
        return new AttemptRace(request, mPool, mSink, () -> 0, stallTimeoutMillis, mEventQueue);
    }

    private AttemptRace.StartedAttempt startAttempt(String node, FakeConnection connection) {
        PlacementResult.Placed placed =
                new PlacementResult.Placed(
                        node,
                        PlacementResult.Reason.LEAST_COST,
                        new PlacementResult.PredictedCost(0, 0, 0, 0, 0));
        Attempt attempt =
                Attempt.start(connection, Call.getDefaultInstance(), ByteString.EMPTY, mEventQueue);
        return new AttemptRace.StartedAttempt(
                new TargetPool.Choice(TestRequests.target(node), placed, 0), attempt, 0);
    }

    private static AttemptResult.Failed assertFailed(AttemptResult result) {
        return assertInstanceOf(AttemptResult.Failed.class, result);
    }
}
