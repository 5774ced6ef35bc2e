package org.oleandertrack.server.sidecar;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
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
final class SidecarCallHandler implements CallHandler, CallGate.Listener {

    /** Suggested wait before a retry of a refused call. */
    private static final long RETRY_AFTER_MILLIS = 200;

    private static final long EXPIRY_CHECK_MILLIS = 100;

    private final TargetClient mTarget;
    private final CallGate mGate;
    private final FenceTable mFences;
    private final AttemptRegistry mAttempts;
    private final EngineMemory mMemory;
    private final ScheduledExecutorService mTimer;
    private final LongSupplier mNanoClock;
    private final AtomicLong mSequence = new AtomicLong();

    SidecarCallHandler(
            TargetClient target,
            CallGate gate,
            FenceTable fences,
            AttemptRegistry attempts,
            EngineMemory memory,
            ScheduledExecutorService timer,
            LongSupplier nanoClock) {
        mTarget = target;
        mGate = gate;
        mFences = fences;
        mAttempts = attempts;
        mMemory = memory;
        mTimer = timer;
        mNanoClock = nanoClock;
    }

    // Life-cycle

    /** Starts to look for calls that can no longer start in time. */
    void start() {
        mTimer.scheduleWithFixedDelay(
                () -> mGate.refuseExpired(this),
                EXPIRY_CHECK_MILLIS,
                EXPIRY_CHECK_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    // Operations

    @Override
    public void onCall(InboundCall call) {
        WaitingCall waiting =
                WaitingCall.of(call, mSequence.incrementAndGet(), mNanoClock.getAsLong());
        mGate.offer(waiting, this);
        // Follows the offer, so that a call that is cancelled already is taken out as well.
        call.cancelled().thenRun(() -> mGate.remove(waiting));
    }

    /** Checks the call at the moment of dispatch, because it may have waited for long. */
    @Override
    public boolean onStart(WaitingCall waiting) {
        Call head = waiting.head();
        if (waiting.call().cancelled().isDone()) {
            return refuseStarted(waiting, ResultCode.CANCELLED, "cancelled before its start");
        }
        if (mNanoClock.getAsLong() > head.getStartDeadlineReceiverNanos()) {
            return refuseStarted(
                    waiting, ResultCode.DEADLINE_EXCEEDED, "the latest start has passed");
        }
        if (isFenced(head)) {
            return refuseStarted(
                    waiting,
                    ResultCode.STALE_FENCE,
                    String.format(
                            "fencing number %d of shard %d is older than %d",
                            head.getFence(), head.getShard(), mFences.highest(head.getShard())));
        }
        if (!mAttempts.start(head.getAttemptId())) {
            return refuseStarted(
                    waiting, ResultCode.STALE_FENCE, "the attempt was already seen or refused");
        }
        return dispatch(waiting);
    }

    @Override
    public void onRefused(WaitingCall waiting, ResultCode code, long retryAfterMillis) {
        refuse(waiting, code, code.summary(), retryAfterMillis);
    }

    // Helpers

    /** Calls without a shard holder carry no fencing number. */
    private boolean isFenced(Call head) {
        return head.getFence() > 0 && !mFences.admit(head.getShard(), head.getFence());
    }

    private boolean dispatch(WaitingCall waiting) {
        long startNanos = mNanoClock.getAsLong();
        mMemory.callStarted(waiting.head());
        TargetExchange exchange;
        try {
            exchange = mTarget.start(waiting.call());
        } catch (IllegalArgumentException e) {
            return refuseUnsendable(waiting, e);
        }
        ScheduledFuture<?> timeout =
                mTimer.schedule(
                        () -> exchange.abort(ResultCode.TARGET_TIMEOUT, "the call timed out"),
                        waiting.head().getTimeoutMillis(),
                        TimeUnit.MILLISECONDS);
        exchange.outcome()
                .thenAccept(
                        outcome -> {
                            timeout.cancel(false);
                            finish(waiting, outcome, startNanos);
                        });
        return true;
    }

    /** The end is sent before the place is freed, so that an idle gate has answered all calls. */
    private void finish(WaitingCall waiting, TargetExchange.Outcome outcome, long startNanos) {
        long runNanos = mNanoClock.getAsLong() - startNanos;
        Call head = waiting.head();
        mAttempts.finish(head.getAttemptId(), outcome.execution());
        mMemory.callEnded(head, outcome.usage());
        if (!outcome.isSuccess()) {
            Logger.info(
                    "attempt {} of program {} turn {} failed: {}",
                    head.getAttemptId(),
                    head.getProgram(),
                    head.getTurn(),
                    outcome.message());
        }
        Usage usage =
                outcome.usage().toBuilder()
                        .setQueueNanos(startNanos - waiting.arrivalNanos())
                        .setRunNanos(runNanos)
                        .build();
        waiting.call()
                .respondEnd(
                        ResponseEnd.newBuilder()
                                .setResultCode(outcome.isSuccess() ? 0 : outcome.code().number())
                                .setExecution(toMessage(outcome.execution()))
                                .setMessage(outcome.message())
                                .setUsage(usage)
                                .setLoad(mGate.load())
                                .build());
        mGate.finished(waiting, runNanos, this);
    }

    /** The HTTP client refuses a method, path or header before it sends anything. */
    private boolean refuseUnsendable(WaitingCall waiting, IllegalArgumentException failure) {
        mAttempts.finish(
                waiting.head().getAttemptId(), org.oleandertrack.core.result.Execution.NOT_RUN);
        mMemory.callEnded(waiting.head(), Usage.getDefaultInstance());
        return refuseStarted(
                waiting,
                ResultCode.INVALID_REQUEST,
                "the call cannot be sent to the target: " + failure.getMessage());
    }

    private boolean refuseStarted(WaitingCall waiting, ResultCode code, String reason) {
        refuse(waiting, code, reason, RETRY_AFTER_MILLIS);
        return false;
    }

    private void refuse(
            WaitingCall waiting, ResultCode code, String reason, long retryAfterMillis) {
        Call head = waiting.head();
        Logger.info(
                "refused attempt {} of program {} turn {}: {} ({})",
                head.getAttemptId(),
                head.getProgram(),
                head.getTurn(),
                code,
                reason);
        waiting.call()
                .respondEnd(
                        ResponseEnd.newBuilder()
                                .setResultCode(code.number())
                                .setExecution(Execution.EXECUTION_NOT_RUN)
                                .setMessage(reason)
                                .setRetryAfterMillis(retryAfterMillis)
                                .setLoad(mGate.load())
                                .build());
    }

    static Execution toMessage(org.oleandertrack.core.result.Execution execution) {
        return switch (execution) {
            case NOT_RUN -> Execution.EXECUTION_NOT_RUN;
            case RUN -> Execution.EXECUTION_RUN;
            case UNKNOWN -> Execution.EXECUTION_UNKNOWN;
        };
    }
}
