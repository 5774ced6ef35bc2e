package org.oleandertrack.server.sidecar;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.oleandertrack.core.fencing.FenceTable;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.protocol.CallHandler;
import org.oleandertrack.protocol.InboundCall;
import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.Execution;
import org.oleandertrack.protocol.message.ResponseEnd;
import org.oleandertrack.protocol.message.Usage;
import org.tinylog.Logger;

/**
 * Checks calls from entry hosts, queues them and runs them at the target. It is the only way in to
 * the target, so a call that fails a check is proved not to have run. Thread safe.
 */
@SuppressWarnings("FutureReturnValueIgnored") // The callbacks handle failures themselves.
final class SidecarCallHandler implements CallHandler {

    /** Suggested wait before a retry of a refused call. */
    private static final long RETRY_AFTER_MILLIS = 200;

    private final TargetClient mTarget;
    private final CallGate mGate;
    private final FenceTable mFences;
    private final AttemptRegistry mAttempts;
    private final ScheduledExecutorService mTimer;
    private final LongSupplier mNanoClock;

    SidecarCallHandler(
            TargetClient target,
            CallGate gate,
            FenceTable fences,
            AttemptRegistry attempts,
            ScheduledExecutorService timer,
            LongSupplier nanoClock) {
        mTarget = target;
        mGate = gate;
        mFences = fences;
        mAttempts = attempts;
        mTimer = timer;
        mNanoClock = nanoClock;
    }

    // Operations

    @Override
    public void onCall(InboundCall call) {
        CallGate.Ticket ticket = new CallGate.Ticket(call, mNanoClock.getAsLong());
        call.cancelled().thenRun(() -> mGate.remove(ticket));
        mGate.offer(ticket, this::run, this::refuse);
    }

    // Helpers

    /** Repeats the checks at the moment of dispatch, because the call may have waited for long. */
    private void run(CallGate.Ticket ticket) {
        Call head = ticket.call().head();
        if (mNanoClock.getAsLong() > head.getStartDeadlineReceiverNanos()) {
            mGate.release(ticket);
            refuse(ticket, ResultCode.DEADLINE_EXCEEDED, "the latest start of the call has passed");
            return;
        }
        if (!mFences.admit(head.getShard(), head.getFence())) {
            mGate.release(ticket);
            refuse(
                    ticket,
                    ResultCode.STALE_FENCE,
                    String.format(
                            "fencing number %d of shard %d is older than %d",
                            head.getFence(), head.getShard(), mFences.highest(head.getShard())));
            return;
        }
        if (!mAttempts.start(head.getAttemptId())) {
            mGate.release(ticket);
            refuse(ticket, ResultCode.STALE_FENCE, "the attempt was already seen or refused");
            return;
        }
        dispatch(ticket);
    }

    private void dispatch(CallGate.Ticket ticket) {
        long startNanos = mNanoClock.getAsLong();
        Call head = ticket.call().head();
        TargetExchange exchange = mTarget.start(ticket.call());
        ScheduledFuture<?> timeout =
                mTimer.schedule(
                        () -> exchange.abort(ResultCode.TARGET_TIMEOUT, "the call timed out"),
                        head.getTimeoutMillis(),
                        TimeUnit.MILLISECONDS);
        exchange.outcome()
                .whenComplete(
                        (outcome, failure) -> {
                            timeout.cancel(false);
                            mGate.release(ticket);
                            finish(ticket, outcome, startNanos);
                        });
    }

    private void finish(CallGate.Ticket ticket, TargetExchange.Outcome outcome, long startNanos) {
        Call head = ticket.call().head();
        mAttempts.finish(head.getAttemptId(), outcome.execution());
        Usage usage =
                outcome.usage().toBuilder()
                        .setQueueNanos(startNanos - ticket.arrivalNanos())
                        .setRunNanos(mNanoClock.getAsLong() - startNanos)
                        .build();
        if (!outcome.isSuccess()) {
            Logger.info(
                    "attempt {} of program {} turn {} failed: {}",
                    head.getAttemptId(),
                    head.getProgram(),
                    head.getTurn(),
                    outcome.message());
        }
        ticket.call()
                .respondEnd(
                        ResponseEnd.newBuilder()
                                .setResultCode(outcome.isSuccess() ? 0 : outcome.code().number())
                                .setExecution(toMessage(outcome.execution()))
                                .setMessage(outcome.message())
                                .setUsage(usage)
                                .setLoad(mGate.load())
                                .build());
    }

    private void refuse(CallGate.Ticket ticket, ResultCode code, String reason) {
        Call head = ticket.call().head();
        Logger.info(
                "refused attempt {} of program {} turn {}: {} ({})",
                head.getAttemptId(),
                head.getProgram(),
                head.getTurn(),
                code,
                reason);
        ticket.call()
                .respondEnd(
                        ResponseEnd.newBuilder()
                                .setResultCode(code.number())
                                .setExecution(Execution.EXECUTION_NOT_RUN)
                                .setMessage(reason)
                                .setRetryAfterMillis(RETRY_AFTER_MILLIS)
                                .setLoad(mGate.load())
                                .build());
    }

    private static Execution toMessage(org.oleandertrack.core.result.Execution execution) {
        return switch (execution) {
            case NOT_RUN -> Execution.EXECUTION_NOT_RUN;
            case RUN -> Execution.EXECUTION_RUN;
            case UNKNOWN -> Execution.EXECUTION_UNKNOWN;
        };
    }
}
