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

/** Which failed calls are tried again, and what their attempts prove together. */
final class DispatcherTest {

    private static final org.oleandertrack.protocol.message.Execution NOT_RUN =
            org.oleandertrack.protocol.message.Execution.EXECUTION_NOT_RUN;
    private static final org.oleandertrack.protocol.message.Execution UNKNOWN =
            org.oleandertrack.protocol.message.Execution.EXECUTION_UNKNOWN;
    private static final long LONG_MILLIS = 60_000;
    private static final int TARGETS = 3;

    private final TargetPools mPools =
            new TargetPools(
                    () -> new TargetPool("zone-a", Set::of, new Random(1), () -> 0),
                    new DecisionLog());
    private final Dispatcher mDispatcher = new Dispatcher(mPools, () -> 0, LONG_MILLIS);
    private RecordingSink mSink = new RecordingSink();
    private final List<FakeConnection.Received> mReceived = new ArrayList<>();

    /** Guards against a call that fails although another target could have run it. */
    @Test
    void attemptThatWasNotRunIsRepeatedElsewhere() {
        for (boolean repeatable : new boolean[] {true, false}) {
            targets(
                    call -> {
                        if (mReceived.size() == 1) {
                            call.fail(ResultCode.QUEUE_FULL.number(), NOT_RUN);
                        } else {
                            call.succeed("a");
                        }
                    });
            run(repeatable);
            assertEquals(2, mReceived.size());
            Set<String> attemptIds = new HashSet<>();
            Set<String> used = new HashSet<>();
            for (FakeConnection.Received received : mReceived) {
                attemptIds.add(received.head().getAttemptId());
                used.add(received.head().getTarget());
            }
            assertEquals(Set.of("id.1.1", "id.2.1"), attemptIds);
            assertEquals(2, used.size());
        }
    }

    /** Guards against a second run of a call that may not be repeated. */
    @Test
    void callThatMayNotBeRepeatedIsNotTriedAgainUnlessProvedNotRun() {
        for (ResultCode code :
                List.of(
                        ResultCode.TARGET_FAILED,
                        ResultCode.TARGET_TIMEOUT,
                        ResultCode.DEADLINE_EXCEEDED,
                        ResultCode.QUEUE_FULL)) {
            targets(call -> call.fail(code.number(), UNKNOWN));
            ResultException failure = assertThrows(ResultException.class, () -> run(false));
            assertEquals(Execution.UNKNOWN, failure.execution(), code.name());
            assertEquals(1, mReceived.size(), code.name());
        }
        targets(call -> call.lose(true));
        assertThrows(ResultException.class, () -> run(false));
        assertEquals(1, mReceived.size());
    }

    /** Guards against "not run" because only the last of several attempts was not run. */
    @Test
    void laterRefusalDoesNotHideAnEarlierAttempt() {
        targets(
                call -> {
                    if (mReceived.size() == 1) {
                        call.lose(true);
                    } else {
                        call.lose(false);
                    }
                });
        ResultException failure = assertThrows(ResultException.class, () -> run(true));
        assertEquals(Execution.UNKNOWN, failure.execution());
        assertTrue(mReceived.size() > 1);
    }

    /** Guards against an answer that starts anew after a part of it has left. */
    @Test
    void startedAnswerIsNotTriedAgain() {
        targets(
                call -> {
                    call.head(200);
                    call.lose(true);
                });
        ResultException failure = assertThrows(ResultException.class, () -> run(true));
        assertEquals(Execution.RUN, failure.execution());
        assertEquals(1, mReceived.size());
    }

    /** Guards against attempts by a holder that was replaced. */
    @Test
    void staleFenceIsNotTriedAgain() {
        targets(call -> call.fail(ResultCode.STALE_FENCE.number(), NOT_RUN));
        ResultException failure = assertThrows(ResultException.class, () -> run(true));
        assertEquals(ResultCode.STALE_FENCE, failure.code());
        assertEquals(Execution.NOT_RUN, failure.execution());
        assertEquals(1, mReceived.size());
    }

    /** Guards against retries, and their cost to other calls, of a call that no target can take. */
    @Test
    void invalidRequestIsNotTriedAgain() {
        targets(call -> call.fail(ResultCode.INVALID_REQUEST.number(), NOT_RUN));
        ResultException failure = assertThrows(ResultException.class, () -> run(true));
        assertEquals(ResultCode.INVALID_REQUEST, failure.code());
        assertEquals(1, mReceived.size());
    }

    /** Guards against further attempts for a caller that has left. */
    @Test
    void noAttemptFollowsWhenTheCallerLeaves() {
        targets(call -> mSink.leave());
        ResultException failure = assertThrows(ResultException.class, () -> run(true));
        assertEquals(ResultCode.CANCELLED, failure.code());
        assertEquals(1, mReceived.size());
        assertTrue(mReceived.getFirst().isCancelled());
    }

    /** Guards against an attempt that the sidecar cannot check. */
    @Test
    void attemptCarriesWhatTheSidecarChecks() {
        targets(call -> call.succeed("a"));
        run(true);
        Call head = mReceived.getFirst().head();
        assertEquals(4, head.getShard());
        assertEquals(5, head.getFence());
        assertEquals(9, head.getReceiverIncarnation());
        assertEquals(1_000, head.getStartDeadlineReceiverNanos());
    }

    /** Guards against a call to an unknown model that is reported as overload. */
    @Test
    void unknownModelIsRefused() {
        ResultException failure = assertThrows(ResultException.class, () -> run(true));
        assertEquals(ResultCode.UNKNOWN_MODEL, failure.code());
        assertEquals(Execution.NOT_RUN, failure.execution());
    }

    /** Guards against a wait for ever, or an unknown outcome, when every target is gone. */
    @Test
    void noConnectedTargetIsNotRun() {
        mPools.onAvailable(Requests.target("t0"));
        ResultException failure = assertThrows(ResultException.class, () -> run(true));
        assertEquals(ResultCode.NO_TARGET_AVAILABLE, failure.code());
        assertEquals(Execution.NOT_RUN, failure.execution());
    }

    // Helpers

    /** Sets up the targets, and an allowance for retries, which grows with the calls counted. */
    private void targets(Consumer<FakeConnection.Received> script) {
        mSink = new RecordingSink();
        mReceived.clear();
        for (int i = 0; i < TARGETS; i++) {
            TargetHandle target = Requests.target("t" + i);
            mPools.onUnavailable(target);
            target.connected(
                    new FakeConnection(
                            call -> {
                                mReceived.add(call);
                                script.accept(call);
                            }));
            mPools.onAvailable(target);
        }
        TargetPool pool = mPools.pool(Requests.MODEL).orElseThrow();
        for (int i = 0; i < 200; i++) {
            pool.callCounted(false);
        }
    }

    private void run(boolean repeatable) {
        ActiveCall call = new ActiveCall(Requests.modelCall(repeatable, LONG_MILLIS), 0);
        DispatchGrant grant = new DispatchGrant("id", 4, 5, 2_000, () -> 1_000, 0, 0, Set.of());
        mDispatcher.run(call, grant, mSink);
    }
}
