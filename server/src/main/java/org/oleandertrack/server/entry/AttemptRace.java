package org.oleandertrack.server.entry;

import com.google.protobuf.ByteString;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.protocol.message.CallKind;
import org.oleandertrack.protocol.message.Load;
import org.oleandertrack.protocol.message.ResponseHead;
import org.oleandertrack.protocol.message.Usage;

/**
 * Runs an attempt of a call and, if its response is late and the call may be repeated, a hedge: a
 * second attempt at another target. The attempt whose response starts first wins, and the other one
 * is cancelled. An instance runs one race. Used by one thread.
 */
final class AttemptRace {

    /** Starts a hedge. */
    interface HedgeStarter {

        /**
         * Starts a second attempt at another target; empty if the call may not be hedged now.
         *
         * @param excludedNodes hosts that the race has already used
         * @param lateNanos time that the first attempt has taken beyond its predicted time
         */
        Optional<StartedAttempt> startHedge(Set<String> excludedNodes, long lateNanos);
    }

    /**
     * An attempt that was sent.
     *
     * @param choice the target and what was predicted for it
     * @param startNanos when the attempt was sent, on the local monotonic clock
     */
    record StartedAttempt(TargetPool.Choice choice, Attempt attempt, long startNanos) {

        TargetHandle target() {
            return choice.target();
        }
    }

    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    private final CallerRequest mRequest;
    private final TargetPool mPool;
    private final ResponseSink mSink;
    private final LongSupplier mNanoClock;
    private final long mStallTimeoutMillis;
    private final long mDeadlineNanos;
    private final LinkedBlockingQueue<Attempt.QueuedEvent> mEventQueue;
    private final Map<Attempt, StartedAttempt> mRunningAttempts = new LinkedHashMap<>();
    private final Set<String> mAttemptedNodes = new HashSet<>();
    private Attempt mWinner;
    private boolean mHedgeTried;
    private Execution mCombinedExecution = Execution.NOT_RUN;

    AttemptRace(
            CallerRequest request,
            TargetPool pool,
            ResponseSink sink,
            LongSupplier nanoClock,
            long stallTimeoutMillis,
            LinkedBlockingQueue<Attempt.QueuedEvent> eventQueue) {
        mRequest = request;
        mPool = pool;
        mSink = sink;
        mNanoClock = nanoClock;
        mStallTimeoutMillis = stallTimeoutMillis;
        mEventQueue = eventQueue;
        mDeadlineNanos = Deadlines.after(nanoClock.getAsLong(), request.timeoutMillis());
    }

    // Operations

    /**
     * Runs the race to its end. Blocks.
     *
     * @return the result; the execution of a failure covers all attempts of the race
     */
    AttemptResult run(StartedAttempt first, HedgeStarter hedgeStarter) {
        add(first);
        CompletableFuture<Void> cancelListener =
                mSink.cancelled()
                        .thenRun(
                                () ->
                                        mEventQueue.add(
                                                new Attempt.QueuedEvent(
                                                        first.attempt(),
                                                        new AttemptEvent.CallCancelled())));
        try {
            return processEvents(hedgeStarter);
        } catch (RuntimeException e) {
            cancelAll();
            throw e;
        } finally {
            cancelListener.cancel(false);
        }
    }

    /** Returns the hosts that attempts were sent to. */
    Set<String> attemptedNodes() {
        return mAttemptedNodes;
    }

    // Helpers

    private AttemptResult processEvents(HedgeStarter hedgeStarter) {
        while (true) {
            Optional<Attempt.QueuedEvent> queuedEvent = awaitEvent();
            if (queuedEvent.isEmpty()) {
                if (isHedgeDue()) {
                    tryHedge(hedgeStarter);
                    continue;
                }
                return failAfterTimeout();
            }
            Optional<AttemptResult> result = handle(queuedEvent.get());
            if (result.isPresent()) {
                return result.get();
            }
        }
    }

    private Optional<AttemptResult> handle(Attempt.QueuedEvent queuedEvent) {
        StartedAttempt started = mRunningAttempts.get(queuedEvent.attempt());
        // A cancellation by the caller carries the first attempt, which may have ended already.
        if (started == null && !(queuedEvent.event() instanceof AttemptEvent.CallCancelled)) {
            return Optional.empty();
        }
        return switch (queuedEvent.event()) {
            case AttemptEvent.Head received -> handleHead(started, received.head());
            case AttemptEvent.Body received -> handleBody(started, received.data());
            case AttemptEvent.End received ->
                    handleEnd(started, AttemptResult.ofEnd(received.end()));
            case AttemptEvent.ConnectionLost received ->
                    handleEnd(
                            started,
                            AttemptResult.ofConnectionLoss(
                                    received.mayHaveArrived(), mWinner == started.attempt()));
            case AttemptEvent.CallCancelled cancellation -> {
                cancelAll();
                yield Optional.of(
                        combineExecution(
                                AttemptResult.Failed.of(
                                        ResultCode.CANCELLED,
                                        mWinner == null ? Execution.UNKNOWN : Execution.RUN,
                                        "the caller left")));
            }
        };
    }

    private Optional<AttemptResult> handleHead(StartedAttempt started, ResponseHead head) {
        if (isEngineError(head)) {
            started.attempt().cancel();
            return handleEnd(
                    started,
                    AttemptResult.Failed.of(
                            ResultCode.TARGET_FAILED,
                            Execution.UNKNOWN,
                            "the target responded with status " + head.getStatus()));
        }
        mWinner = started.attempt();
        mPool.recordResponseStart(
                mRequest.streamed(),
                started.choice().predictedNanos(),
                mNanoClock.getAsLong() - started.startNanos());
        for (StartedAttempt other : Set.copyOf(mRunningAttempts.values())) {
            if (!other.equals(started)) {
                cancel(other);
            }
        }
        mSink.writeHead(head);
        return Optional.empty();
    }

    private Optional<AttemptResult> handleBody(StartedAttempt started, ByteString data) {
        mSink.writeBody(data);
        started.attempt().returnCredit(data.size());
        return Optional.empty();
    }

    private Optional<AttemptResult> handleEnd(StartedAttempt started, AttemptResult result) {
        mRunningAttempts.remove(started.attempt());
        return switch (result) {
            case AttemptResult.Completed completed -> {
                recordEnd(
                        started,
                        TargetPool.AttemptOutcome.SUCCEEDED,
                        completed.usage(),
                        completed.load());
                yield Optional.of(completed);
            }
            case AttemptResult.Failed failed -> {
                recordEnd(started, outcomeOf(failed), failed.usage(), failed.load());
                AttemptResult.Failed combined = combineExecution(failed);
                yield mRunningAttempts.isEmpty() ? Optional.of(combined) : Optional.empty();
            }
        };
    }

    /**
     * Tells whether a response is a server error of a model engine, which counts as a failed
     * attempt. The error responses of services are passed to the caller.
     */
    private boolean isEngineError(ResponseHead response) {
        return mRequest.kind() == CallKind.CALL_KIND_MODEL
                && response.getStatus() >= FIRST_SERVER_ERROR_STATUS;
    }

    /**
     * Combines the execution of a failed attempt with that of the attempts that ended before, and
     * returns the failure with the combined execution.
     */
    private AttemptResult.Failed combineExecution(AttemptResult.Failed failed) {
        mCombinedExecution = Executions.combine(mCombinedExecution, failed.execution());
        return new AttemptResult.Failed(
                failed.code(),
                mCombinedExecution,
                failed.message(),
                failed.retryAfterMillis(),
                failed.usage(),
                failed.load());
    }

    private static TargetPool.AttemptOutcome outcomeOf(AttemptResult.Failed failed) {
        return switch (failed.code()) {
            case TARGET_FAILED, TARGET_TIMEOUT, TARGET_UNREACHABLE, ATTEMPT_LOST, STALLED ->
                    TargetPool.AttemptOutcome.FAILED;
            default -> TargetPool.AttemptOutcome.ABANDONED;
        };
    }

    private AttemptResult failAfterTimeout() {
        boolean stalled = mWinner != null;
        for (StartedAttempt started : Set.copyOf(mRunningAttempts.values())) {
            started.attempt().cancel();
            recordEnd(
                    started,
                    TargetPool.AttemptOutcome.FAILED,
                    Usage.getDefaultInstance(),
                    Optional.empty());
        }
        mRunningAttempts.clear();
        return combineExecution(
                stalled
                        ? AttemptResult.Failed.of(
                                ResultCode.STALLED,
                                Execution.RUN,
                                "the target has sent no part of the response for "
                                        + mStallTimeoutMillis
                                        + " ms")
                        : AttemptResult.Failed.of(
                                ResultCode.TARGET_TIMEOUT,
                                Execution.UNKNOWN,
                                "the target did not respond before the deadline of the call"));
    }

    // Hedging

    private boolean isHedgeDue() {
        return mNanoClock.getAsLong() < mDeadlineNanos && hedgeDelayNanos().isPresent();
    }

    private void tryHedge(HedgeStarter hedgeStarter) {
        mHedgeTried = true;
        StartedAttempt first = mRunningAttempts.values().iterator().next();
        long elapsedNanos = mNanoClock.getAsLong() - first.startNanos();
        hedgeStarter
                .startHedge(mAttemptedNodes, elapsedNanos - first.choice().predictedNanos())
                .ifPresent(this::add);
    }

    // Helpers: attempts

    private void add(StartedAttempt started) {
        mRunningAttempts.put(started.attempt(), started);
        mAttemptedNodes.add(started.target().node());
    }

    private void cancelAll() {
        for (StartedAttempt started : Set.copyOf(mRunningAttempts.values())) {
            cancel(started);
        }
    }

    /** Cancels an attempt. Its later events are ignored, so whether it was run stays unknown. */
    private void cancel(StartedAttempt started) {
        mRunningAttempts.remove(started.attempt());
        started.attempt().cancel();
        mCombinedExecution = Executions.combine(mCombinedExecution, Execution.UNKNOWN);
        recordEnd(
                started,
                TargetPool.AttemptOutcome.ABANDONED,
                Usage.getDefaultInstance(),
                Optional.empty());
    }

    private void recordEnd(
            StartedAttempt started,
            TargetPool.AttemptOutcome outcome,
            Usage usage,
            Optional<Load> load) {
        mPool.recordAttemptEnd(mRequest, started.target(), outcome, usage, load);
    }

    private Optional<Attempt.QueuedEvent> awaitEvent() {
        try {
            return Optional.ofNullable(mEventQueue.poll(eventTimeoutNanos(), TimeUnit.NANOSECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    private long eventTimeoutNanos() {
        if (mWinner != null) {
            return TimeUnit.MILLISECONDS.toNanos(mStallTimeoutMillis);
        }
        long untilDeadlineNanos = Math.max(0, mDeadlineNanos - mNanoClock.getAsLong());
        long untilHedgeNanos = Math.max(0, hedgeDelayNanos().orElse(untilDeadlineNanos));
        return Math.min(untilDeadlineNanos, untilHedgeNanos);
    }

    /**
     * Returns the time after which the first attempt is hedged; empty if it is not hedged. Only a
     * call that may be repeated is hedged, at most once per race and only while no response has
     * started.
     */
    private OptionalLong hedgeDelayNanos() {
        boolean mayBeHedged = mWinner == null && !mHedgeTried && mRequest.repeatable();
        if (!mayBeHedged || mRunningAttempts.isEmpty()) {
            return OptionalLong.empty();
        }
        StartedAttempt first = mRunningAttempts.values().iterator().next();
        return mPool.hedgeDelayNanos(mRequest.streamed(), first.choice());
    }
}
