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

/** Attempts of one call at two targets: who wins, who is cancelled and what they prove together. */
final class AttemptRaceTest {

    private static final org.oleandertrack.protocol.message.Execution NOT_RUN =
            org.oleandertrack.protocol.message.Execution.EXECUTION_NOT_RUN;
    private static final org.oleandertrack.protocol.message.Execution UNKNOWN =
            org.oleandertrack.protocol.message.Execution.EXECUTION_UNKNOWN;

    /** Samples after which a pool knows when an attempt is late. */
    private static final int HEDGE_SAMPLES = 40;

    private static final long LONG_MILLIS = 60_000;

    private final TargetPool mPool = new TargetPool("zone-a", Set::of, new Random(1), () -> 0);
    private final RecordingSink mSink = new RecordingSink();
    private final LinkedBlockingQueue<Attempt.Tagged> mEvents = new LinkedBlockingQueue<>();
    private final FakeConnection mFirst = new FakeConnection(call -> {});
    private final FakeConnection mSecond = new FakeConnection(call -> {});

    /** Guards against an answer that is cut, or whose credit is not returned to the sender. */
    @Test
    void singleAttemptIsPassedOn() {
        AttemptRace.Runner first = runner("t1", mFirst);
        mFirst.calls().getFirst().succeed("abc");
        assertInstanceOf(AttemptResult.Completed.class, race(true).run(first, this::noHedge));
        assertEquals("abc", mSink.text());
        assertEquals(3, mFirst.calls().getFirst().consumedBytes());
    }

    /** Guards against two answers that are mixed because the loser's head comes late. */
    @Test
    void lateHeadOfTheLoserIsIgnored() {
        AttemptResult result =
                runHedged(
                        (first, second) -> {
                            second.head(200);
                            first.head(201);
                            first.body("loser");
                            second.body("winner");
                            first.end();
                            second.end();
                        });
        assertInstanceOf(AttemptResult.Completed.class, result);
        assertEquals("winner", mSink.text());
        assertEquals(1, mSink.heads().size());
        assertTrue(mFirst.calls().getFirst().isCancelled());
        assertFalse(mSecond.calls().getFirst().isCancelled());
    }

    /** Guards against a race that ends while its other attempt may still answer. */
    @Test
    void failureOfOneAttemptLeavesTheOther() {
        AttemptResult result =
                runHedged(
                        (first, second) -> {
                            first.lose(true);
                            second.succeed("second");
                        });
        assertInstanceOf(AttemptResult.Completed.class, result);
        assertEquals("second", mSink.text());
    }

    /** Guards against "not run" because the attempt that failed last was not run. */
    @Test
    void notRunNeedsAllAttempts() {
        assertEquals(
                Execution.UNKNOWN,
                failure(
                                runHedged(
                                        (first, second) -> {
                                            first.lose(true);
                                            second.lose(false);
                                        }))
                        .execution());
    }

    /** Guards against an outcome left open although no attempt has run. */
    @Test
    void notRunIfNoAttemptRan() {
        assertEquals(
                Execution.NOT_RUN,
                failure(
                                runHedged(
                                        (first, second) -> {
                                            first.fail(ResultCode.QUEUE_FULL.number(), NOT_RUN);
                                            second.lose(false);
                                        }))
                        .execution());
    }

    /** Guards against "not run" for a call whose cancelled attempt may have run. */
    @Test
    void cancelledLoserCountsForTheExecution() {
        AttemptResult result =
                runHedged(
                        (first, second) -> {
                            second.head(200);
                            second.fail(ResultCode.TARGET_FAILED.number(), NOT_RUN);
                        });
        assertEquals(Execution.UNKNOWN, failure(result).execution());
    }

    /** Guards against an engine's server error that is given to the caller as the answer. */
    @Test
    void serverErrorOfAModelIsAFailedAttempt() {
        AttemptRace.Runner first = runner("t1", mFirst);
        mFirst.calls().getFirst().succeed("x");
        mEvents.clear();
        mFirst.calls().getFirst().head(503);
        AttemptResult.Failed failed = failure(race(true).run(first, this::noHedge));
        assertEquals(ResultCode.TARGET_FAILED, failed.code());
        assertEquals(Execution.UNKNOWN, failed.execution());
        assertTrue(mFirst.calls().getFirst().isCancelled());
        assertTrue(mSink.heads().isEmpty());
    }

    /** Guards against a service's own error answer that is replaced or repeated. */
    @Test
    void serverErrorOfAServiceIsPassedThrough() {
        AttemptRace.Runner first = runner("t1", mFirst);
        mFirst.calls().getFirst().head(503);
        mFirst.calls().getFirst().end();
        CallerRequest request = Requests.serviceCall(true, LONG_MILLIS);
        assertInstanceOf(
                AttemptResult.Completed.class,
                race(request, LONG_MILLIS).run(first, this::noHedge));
        assertEquals(503, mSink.heads().getFirst().getStatus());
    }

    /** Guards against attempts that run on for a caller that has left. */
    @Test
    void callerLeavingCancelsTheAttempt() {
        AttemptRace.Runner first = runner("t1", mFirst);
        mSink.leave();
        AttemptResult.Failed failed = failure(race(true).run(first, this::noHedge));
        assertEquals(ResultCode.CANCELLED, failed.code());
        assertEquals(Execution.UNKNOWN, failed.execution());
        assertTrue(mFirst.calls().getFirst().isCancelled());
    }

    /** Guards against a second attempt that runs on because the first one had ended before. */
    @Test
    void callerLeavingCancelsTheSecondAttemptAfterTheFirstHasEnded() {
        AttemptResult.Failed failed =
                failure(
                        runHedged(
                                (first, second) -> {
                                    first.lose(true);
                                    second.head(200);
                                    mSink.leave();
                                    second.body("after the caller left");
                                    second.end();
                                }));
        assertEquals(ResultCode.CANCELLED, failed.code());
        assertEquals(Execution.RUN, failed.execution());
        assertTrue(mSecond.calls().getFirst().isCancelled());
        assertEquals("", mSink.text());
    }

    /** Guards against attempts that run on after the answer could not be passed on. */
    @Test
    void failureOfTheCallerCancelsTheAttempt() {
        for (RuntimeException failure :
                new RuntimeException[] {
                    new ResultException(ResultCode.MEMORY_LIMIT_REACHED, "large"),
                    new IllegalStateException("unexpected")
                }) {
            AttemptRace.Runner first = runner("t1", mFirst);
            mFirst.calls().getLast().head(200);
            mFirst.calls().getLast().body("a");
            mSink.failBodyWith(failure);
            AttemptRace race = race(true);
            assertThrows(failure.getClass(), () -> race.run(first, this::noHedge));
            assertTrue(mFirst.calls().getLast().isCancelled());
        }
    }

    /** Guards against a call without answer that waits beyond its deadline or reads as not run. */
    @Test
    void noAnswerInTimeIsUnknown() {
        AttemptRace.Runner first = runner("t1", mFirst);
        AttemptResult.Failed failed =
                failure(race(Requests.modelCall(true, 0), LONG_MILLIS).run(first, this::noHedge));
        assertEquals(ResultCode.TARGET_TIMEOUT, failed.code());
        assertEquals(Execution.UNKNOWN, failed.execution());
        assertTrue(mFirst.calls().getFirst().isCancelled());
    }

    /** Guards against a second attempt of a call that may not be repeated. */
    @Test
    void callThatMayNotBeRepeatedIsNotHedged() {
        trainHedges();
        AttemptRace.Runner first = runner("t1", mFirst);
        AttemptResult.Failed failed =
                failure(race(Requests.modelCall(false, 1), LONG_MILLIS).run(first, this::noHedge));
        assertEquals(ResultCode.TARGET_TIMEOUT, failed.code());
    }

    /** Guards against an answer that stops half-way and keeps its caller waiting. */
    @Test
    void stalledAnswerHasRun() {
        AttemptRace.Runner first = runner("t1", mFirst);
        mFirst.calls().getFirst().head(200);
        AttemptResult.Failed failed =
                failure(race(Requests.modelCall(true, LONG_MILLIS), 0).run(first, this::noHedge));
        assertEquals(ResultCode.STALLED, failed.code());
        assertEquals(Execution.RUN, failed.execution());
        assertTrue(mFirst.calls().getFirst().isCancelled());
    }

    /** Guards against an end without execution or with an unknown code that reads as not run. */
    @Test
    void endOfAnUnknownKindIsUnknown() {
        AttemptRace.Runner first = runner("t1", mFirst);
        mFirst.calls().getFirst().fail(99_999, UNKNOWN);
        AttemptResult.Failed failed = failure(race(true).run(first, this::noHedge));
        assertEquals(ResultCode.INTERNAL_ERROR, failed.code());
        assertEquals(Execution.UNKNOWN, failed.execution());
    }

    // Helpers

    /** Runs a call whose first attempt is late; events follow the start of the second one. */
    private AttemptResult runHedged(
            BiConsumer<FakeConnection.Received, FakeConnection.Received> events) {
        trainHedges();
        return race(true)
                .run(
                        runner("t1", mFirst),
                        (used, lateNanos) -> {
                            assertEquals(Set.of("t1"), used);
                            AttemptRace.Runner second = runner("t2", mSecond);
                            events.accept(mFirst.calls().getFirst(), mSecond.calls().getFirst());
                            return Optional.of(second);
                        });
    }

    /** Lets every attempt without an answer count as late. */
    private void trainHedges() {
        for (int i = 0; i < HEDGE_SAMPLES; i++) {
            mPool.firstAnswer(false, 0, 0);
        }
    }

    private Optional<AttemptRace.Runner> noHedge(Set<String> used, long lateNanos) {
        throw new AssertionError("not to be hedged");
    }

    private AttemptRace race(boolean repeatable) {
        return race(Requests.modelCall(repeatable, LONG_MILLIS), LONG_MILLIS);
    }

    private AttemptRace race(CallerRequest request, long stallMillis) {
        return new AttemptRace(request, mPool, mSink, () -> 0, stallMillis, mEvents);
    }

    private AttemptRace.Runner runner(String node, FakeConnection connection) {
        PlacementResult.Placed placed =
                new PlacementResult.Placed(
                        node,
                        PlacementResult.Reason.LEAST_COST,
                        new PlacementResult.Predicted(0, 0, 0, 0, 0));
        Attempt attempt =
                Attempt.start(connection, Call.getDefaultInstance(), ByteString.EMPTY, mEvents);
        return new AttemptRace.Runner(
                new TargetPool.Choice(Requests.target(node), placed, 0), attempt, 0);
    }

    private static AttemptResult.Failed failure(AttemptResult result) {
        return assertInstanceOf(AttemptResult.Failed.class, result);
    }
}
