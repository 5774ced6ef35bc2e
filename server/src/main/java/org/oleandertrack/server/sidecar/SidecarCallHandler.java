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
 * Checks calls from entry hosts, queues them and runs them at the target. No call reaches the
 * target by another path, so a call that fails a check is known not to have run. Thread safe.
 */
@SuppressWarnings("FutureReturnValueIgnored") // The callbacks handle failures themselves.
final class SidecarCallHandler implements CallHandler, CallScheduler.Listener {

    /** Suggested wait before a retry of a refused call. */
    private static final long RETRY_AFTER_MILLIS = 200;

    /** Interval between the checks for calls that have expired or that the rate permits. */
    private static final long QUEUE_CHECK_INTERVAL_MILLIS = 50;

    private final TargetClient mTargetClient;
    private final CallScheduler mScheduler;
    private final FenceTable mFences;
    private final AttemptRegistry mAttempts;
    private final EngineMemoryTracker mEngineMemory;
    private final ScheduledExecutorService mTimer;
    private final LongSupplier mNanoClock;
    private final AtomicLong mLastCallNumber = new AtomicLong();

    SidecarCallHandler(
            TargetClient target,
            CallScheduler scheduler,
            FenceTable fences,
            AttemptRegistry attempts,
            EngineMemoryTracker memory,
            ScheduledExecutorService timer,
            LongSupplier nanoClock) {
        mTargetClient = target;
        mScheduler = scheduler;
        mFences = fences;
        mAttempts = attempts;
        mEngineMemory = memory;
        mTimer = timer;
        mNanoClock = nanoClock;
    }

    // Life-cycle

    /** Starts the periodic check of the waiting calls. */
    void start() {
        mTimer.scheduleWithFixedDelay(
                () -> {
                    mScheduler.refuseExpired(this);
                    mScheduler.startPaced(this);
                },
                QUEUE_CHECK_INTERVAL_MILLIS,
                QUEUE_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    // Operations

    @Override
    public void onCall(InboundCall inbound) {
        SidecarCall call =
                SidecarCall.of(inbound, mLastCallNumber.incrementAndGet(), mNanoClock.getAsLong());
        mScheduler.offer(call, this);
        // Registered after the offer, so that a call that is already cancelled is removed as well.
        inbound.cancelled().thenRun(() -> mScheduler.remove(call));
    }

    /** Checks the call right before its dispatch, because it may have waited for long. */
    @Override
    public boolean onStart(SidecarCall call) {
        Call head = call.head();
        if (call.inbound().cancelled().isDone()) {
            return refuseBeforeDispatch(
                    call, ResultCode.CANCELLED, "the call was cancelled before it started");
        }
        if (mNanoClock.getAsLong() > head.getStartDeadlineReceiverNanos()) {
            return refuseBeforeDispatch(
                    call,
                    ResultCode.DEADLINE_EXCEEDED,
                    "the start deadline of the call has passed");
        }
        if (hasStaleFence(head)) {
            return refuseBeforeDispatch(
                    call,
                    ResultCode.STALE_FENCE,
                    String.format(
                            "fencing number %d of shard %d is older than %d",
                            head.getFence(), head.getShard(), mFences.highest(head.getShard())));
        }
        if (!mAttempts.tryStart(head.getAttemptId())) {
            return refuseBeforeDispatch(
                    call,
                    ResultCode.STALE_FENCE,
                    "the attempt already started or was reported as not run");
        }
        return dispatch(call);
    }

    @Override
    public void onRefused(SidecarCall call, ResultCode code, long retryAfterMillis) {
        refuse(call, code, code.summary(), retryAfterMillis);
    }

    // Helpers

    /**
     * Records the call's fencing number and returns whether it is older than the highest one seen
     * for its shard. The fencing number of a call that needs no shard holder is 0 and is not
     * checked.
     */
    private boolean hasStaleFence(Call head) {
        return head.getFence() > 0 && !mFences.admit(head.getShard(), head.getFence());
    }

    private boolean dispatch(SidecarCall call) {
        long startNanos = mNanoClock.getAsLong();
        mEngineMemory.callStarted(call.head());
        TargetExchange exchange;
        try {
            exchange = mTargetClient.send(call.inbound(), mScheduler::limitRate);
        } catch (IllegalArgumentException e) {
            return refuseInvalidRequest(call, e);
        }
        ScheduledFuture<?> timeout =
                mTimer.schedule(
                        () ->
                                exchange.abort(
                                        ResultCode.TARGET_TIMEOUT, "the call exceeded its timeout"),
                        call.head().getTimeoutMillis(),
                        TimeUnit.MILLISECONDS);
        exchange.outcome()
                .thenAccept(
                        outcome -> {
                            timeout.cancel(false);
                            finish(call, outcome, startNanos);
                        });
        return true;
    }

    /**
     * Sends the end of the response before it frees the call's slot, so that all calls have been
     * answered when the scheduler is idle.
     */
    private void finish(SidecarCall call, TargetExchange.Outcome outcome, long startNanos) {
        long runNanos = mNanoClock.getAsLong() - startNanos;
        Call head = call.head();
        mAttempts.finish(head.getAttemptId(), outcome.execution());
        mEngineMemory.callEnded(head, outcome.usage());
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
                        .setQueueNanos(startNanos - call.arrivalNanos())
                        .setRunNanos(runNanos)
                        .build();
        call.inbound()
                .respondEnd(
                        ResponseEnd.newBuilder()
                                .setResultCode(outcome.isSuccess() ? 0 : outcome.code().number())
                                .setExecution(toProtocol(outcome.execution()))
                                .setMessage(outcome.message())
                                .setUsage(usage)
                                .setLoad(mScheduler.load())
                                .build());
        mScheduler.finish(call, runNanos, this);
    }

    /** Refuses a call whose method, path or header the HTTP client rejected before sending. */
    private boolean refuseInvalidRequest(SidecarCall call, IllegalArgumentException failure) {
        mAttempts.finish(
                call.head().getAttemptId(), org.oleandertrack.core.result.Execution.NOT_RUN);
        mEngineMemory.callEnded(call.head(), Usage.getDefaultInstance());
        return refuseBeforeDispatch(
                call,
                ResultCode.INVALID_REQUEST,
                "the call cannot be sent to the target as an HTTP request: "
                        + failure.getMessage());
    }

    private boolean refuseBeforeDispatch(SidecarCall call, ResultCode code, String reason) {
        refuse(call, code, reason, RETRY_AFTER_MILLIS);
        return false;
    }

    private void refuse(SidecarCall call, ResultCode code, String reason, long retryAfterMillis) {
        Call head = call.head();
        Logger.info(
                "refused attempt {} of program {} turn {}: {} ({})",
                head.getAttemptId(),
                head.getProgram(),
                head.getTurn(),
                code,
                reason);
        call.inbound()
                .respondEnd(
                        ResponseEnd.newBuilder()
                                .setResultCode(code.number())
                                .setExecution(Execution.EXECUTION_NOT_RUN)
                                .setMessage(reason)
                                .setRetryAfterMillis(retryAfterMillis)
                                .setLoad(mScheduler.load())
                                .build());
    }

    static Execution toProtocol(org.oleandertrack.core.result.Execution execution) {
        return switch (execution) {
            case NOT_RUN -> Execution.EXECUTION_NOT_RUN;
            case RUN -> Execution.EXECUTION_RUN;
            case UNKNOWN -> Execution.EXECUTION_UNKNOWN;
        };
    }
}
