package org.oleandertrack.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.telemetry.logging.DecisionLog;

/** Tests which failed calls are retried, and the execution that results from all attempts. */
final class DispatcherTest {

    private static final org.oleandertrack.protocol.message.Execution NOT_RUN =
            org.oleandertrack.protocol.message.Execution.EXECUTION_NOT_RUN;
    private static final org.oleandertrack.protocol.message.Execution UNKNOWN =
            org.oleandertrack.protocol.message.Execution.EXECUTION_UNKNOWN;
    private static final long LONG_MILLIS = 60_000;
    private static final int TARGET_COUNT = 3;

    private final TargetPools mPools =
            new TargetPools(
                    () -> new TargetPool("zone-a", Set::of, new Random(1), () -> 0),
                    new DecisionLog());
    private final Dispatcher mDispatcher = new Dispatcher(mPools, () -> 0, LONG_MILLIS);
    private RecordingSink mSink = new RecordingSink();
    private final List<FakeConnection.ReceivedCall> mReceivedCalls = new ArrayList<>();

    /** Guards against a failed call although another target could have run it. */
    @Test
    void attemptThatWasNotRunIsRetriedAtAnotherTarget() {
        for (boolean repeatable : new boolean[] {true, false}) {
            connectTargets(
                    call -> {
                        if (mReceivedCalls.size() == 1) {
                            call.respondFailure(ResultCode.QUEUE_FULL.number(), NOT_RUN);
                        } else {
                            call.respond("a");
                        }
                    });
            run(repeatable);
            assertEquals(2, mReceivedCalls.size());
            Set<String> attemptIds = new HashSet<>();
            Set<String> usedTargets = new HashSet<>();
            for (FakeConnection.ReceivedCall received : mReceivedCalls) {
                attemptIds.add(received.head().getAttemptId());
                usedTargets.add(received.head().getTarget());
            }
            assertEquals(Set.of("id.1.1", "id.2.1"), attemptIds);
            assertEquals(2, usedTargets.size());
        }
    }

    /** Guards against a retry of a call that may not be repeated and may have been run. */
    @Test
    void callThatMayNotBeRepeatedIsRetriedOnlyIfNotRun() {
        for (ResultCode code :
                List.of(
                        ResultCode.TARGET_FAILED,
                        ResultCode.TARGET_TIMEOUT,
                        ResultCode.DEADLINE_EXCEEDED,
                        ResultCode.QUEUE_FULL)) {
            connectTargets(call -> call.respondFailure(code.number(), UNKNOWN));
            ResultException failure = assertThrows(ResultException.class, () -> run(false));
            assertEquals(Execution.UNKNOWN, failure.execution(), code.name());
            assertEquals(1, mReceivedCalls.size(), code.name());
        }
        connectTargets(call -> call.loseConnection(true));
        assertThrows(ResultException.class, () -> run(false));
        assertEquals(1, mReceivedCalls.size());
    }

    /** Guards against "not run" if only the last of several attempts was not run. */
    @Test
    void laterRefusalDoesNotHideAnEarlierAttempt() {
        connectTargets(
                call -> {
                    if (mReceivedCalls.size() == 1) {
                        call.loseConnection(true);
                    } else {
                        call.loseConnection(false);
                    }
                });
        ResultException failure = assertThrows(ResultException.class, () -> run(true));
        assertEquals(Execution.UNKNOWN, failure.execution());
        assertTrue(mReceivedCalls.size() > 1);
    }

    /** Guards against a retry after part of the response was sent to the caller. */
    @Test
    void callIsNotRetriedAfterItsResponseHasStarted() {
        connectTargets(
                call -> {
                    call.respondHead(200);
                    call.loseConnection(true);
                });
        ResultException failure = assertThrows(ResultException.class, () -> run(true));
        assertEquals(Execution.RUN, failure.execution());
        assertEquals(1, mReceivedCalls.size());
    }

    /** Guards against retries by a former holder of the shard. */
    @Test
    void staleFenceIsNotRetried() {
        connectTargets(call -> call.respondFailure(ResultCode.STALE_FENCE.number(), NOT_RUN));
        ResultException failure = assertThrows(ResultException.class, () -> run(true));
        assertEquals(ResultCode.STALE_FENCE, failure.code());
        assertEquals(Execution.NOT_RUN, failure.execution());
        assertEquals(1, mReceivedCalls.size());
    }

    /** Guards against useless retries of a call that targets reject, at the expense of others. */
    @Test
    void invalidRequestIsNotRetried() {
        connectTargets(call -> call.respondFailure(ResultCode.INVALID_REQUEST.number(), NOT_RUN));
        ResultException failure = assertThrows(ResultException.class, () -> run(true));
        assertEquals(ResultCode.INVALID_REQUEST, failure.code());
        assertEquals(1, mReceivedCalls.size());
    }

    /** Guards against a retry after the caller has cancelled the call. */
    @Test
    void callIsNotRetriedAfterCancellationByCaller() {
        connectTargets(call -> mSink.cancelCall());
        ResultException failure = assertThrows(ResultException.class, () -> run(true));
        assertEquals(ResultCode.CANCELLED, failure.code());
        assertEquals(1, mReceivedCalls.size());
        assertTrue(mReceivedCalls.getFirst().isCancelled());
    }

    /** Guards against an attempt without the values by which the sidecar admits or rejects it. */
    @Test
    void attemptCarriesShardFenceIncarnationAndDeadline() {
        connectTargets(call -> call.respond("a"));
        run(true);
        Call head = mReceivedCalls.getFirst().head();
        assertEquals(4, head.getShard());
        assertEquals(5, head.getFence());
        assertEquals(9, head.getReceiverIncarnation());
        assertEquals(1_000, head.getStartDeadlineReceiverNanos());
    }

    /** Guards against a call to an unknown model that is reported as an overload. */
    @Test
    void unknownModelIsRefused() {
        ResultException failure = assertThrows(ResultException.class, () -> run(true));
        assertEquals(ResultCode.UNKNOWN_MODEL, failure.code());
        assertEquals(Execution.NOT_RUN, failure.execution());
    }

    /** Guards against an endless wait, or execution "unknown", if no target is connected. */
    @Test
    void callWithoutConnectedTargetIsNotRun() {
        mPools.onAvailable(TestRequests.target("t0"));
        ResultException failure = assertThrows(ResultException.class, () -> run(true));
        assertEquals(ResultCode.NO_TARGET_AVAILABLE, failure.code());
        assertEquals(Execution.NOT_RUN, failure.execution());
    }

    // Helpers

    /**
     * Connects targets that respond as the script says, and counts calls, which raises the
     * allowance for retries.
     */
    private void connectTargets(Consumer<FakeConnection.ReceivedCall> script) {
        mSink = new RecordingSink();
        mReceivedCalls.clear();
        for (int i = 0; i < TARGET_COUNT; i++) {
            TargetHandle target = TestRequests.target("t" + i);
            mPools.onUnavailable(target);
            target.setConnection(
                    new FakeConnection(
                            call -> {
                                mReceivedCalls.add(call);
                                script.accept(call);
                            }));
            mPools.onAvailable(target);
        }
        TargetPool pool = mPools.pool(TestRequests.MODEL).orElseThrow();
        for (int i = 0; i < 200; i++) {
            pool.countCall(false);
        }
    }

    private void run(boolean repeatable) {
        ActiveCall call = new ActiveCall(TestRequests.modelCall(repeatable, LONG_MILLIS), 0);
        DispatchContext context =
                new DispatchContext("id", 4, 5, 2_000, () -> 1_000, 0, 0, Set.of());
        mDispatcher.run(call, context, mSink);
    }
}
