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
 * Runs an attempt of a call and, if its answer is late and the call may be repeated, a second one
 * at another target. The first answer wins and the other attempt is cancelled. One race per attempt
 * round; used by one thread.
 */
final class AttemptRace {

    /** Starts a second attempt at another target. */
    interface HedgeStarter {

        /** Starts it, unless the call may not be hedged now. */
        Optional<Runner> startHedge(Set<String> excludedNodes, long lateNanos);
    }

    /** An attempt with its target. */
    record Runner(TargetPool.Choice choice, Attempt attempt, long startNanos) {

        TargetHandle target() {
            return choice.target();
        }
    }

    private static final int FIRST_ERROR_STATUS = 500;

    private final CallerRequest mRequest;
    private final TargetPool mPool;
    private final ResponseSink mSink;
    private final LongSupplier mNanoClock;
    private final long mStallMillis;
    private final long mDeadlineNanos;
    private final LinkedBlockingQueue<Attempt.Tagged> mEvents;
    private final Map<Attempt, Runner> mRunners = new LinkedHashMap<>();
    private final Set<String> mUsedNodes = new HashSet<>();
    private Attempt mWinner;
    private boolean mHedgeTried;
    private Execution mExecution = Execution.NOT_RUN;

    AttemptRace(
            CallerRequest request,
            TargetPool pool,
            ResponseSink sink,
            LongSupplier nanoClock,
            long stallMillis,
            LinkedBlockingQueue<Attempt.Tagged> events) {
        mRequest = request;
        mPool = pool;
        mSink = sink;
        mNanoClock = nanoClock;
        mStallMillis = stallMillis;
        mEvents = events;
        mDeadlineNanos = Deadlines.after(nanoClock.getAsLong(), request.timeoutMillis());
    }

    // Operations

    /**
     * Runs the race to its end. Blocks.
     *
     * @return the result; a failure tells the execution of all attempts together
     */
    AttemptResult run(Runner first, HedgeStarter hedges) {
        add(first);
        CompletableFuture<Void> callerGone =
                mSink.cancelled()
                        .thenRun(
                                () ->
                                        mEvents.add(
                                                new Attempt.Tagged(
                                                        first.attempt(),
                                                        new AttemptEvent.CallerGone())));
        try {
            return follow(hedges);
        } catch (RuntimeException e) {
            cancelAll();
            throw e;
        } finally {
            callerGone.cancel(false);
        }
    }

    /** Returns the nodes that were tried. */
    Set<String> usedNodes() {
        return mUsedNodes;
    }

    // Helpers

    private AttemptResult follow(HedgeStarter hedges) {
        while (true) {
            Optional<Attempt.Tagged> tagged = next();
            if (tagged.isEmpty()) {
                if (hedgeIsDue()) {
                    tryHedge(hedges);
                    continue;
                }
                return timedOut();
            }
            Optional<AttemptResult> result = accept(tagged.get());
            if (result.isPresent()) {
                return result.get();
            }
        }
    }

    private Optional<AttemptResult> accept(Attempt.Tagged tagged) {
        Runner runner = mRunners.get(tagged.attempt());
        // The caller may leave after the attempt that the event is tagged with has ended.
        if (runner == null && !(tagged.event() instanceof AttemptEvent.CallerGone)) {
            return Optional.empty();
        }
        return switch (tagged.event()) {
            case AttemptEvent.Head received -> acceptHead(runner, received.head());
            case AttemptEvent.Body received -> acceptBody(runner, received.data());
            case AttemptEvent.End received ->
                    acceptEnd(runner, AttemptResult.ofEnd(received.end()));
            case AttemptEvent.Lost received ->
                    acceptEnd(
                            runner,
                            AttemptResult.ofLoss(
                                    received.mayHaveArrived(), mWinner == runner.attempt()));
            case AttemptEvent.CallerGone gone -> {
                cancelAll();
                yield Optional.of(
                        failure(
                                AttemptResult.Failed.of(
                                        ResultCode.CANCELLED,
                                        mWinner == null ? Execution.UNKNOWN : Execution.RUN,
                                        "the caller left")));
            }
        };
    }

    private Optional<AttemptResult> acceptHead(Runner runner, ResponseHead head) {
        if (isModelError(head)) {
            runner.attempt().cancel();
            return acceptEnd(
                    runner,
                    AttemptResult.Failed.of(
                            ResultCode.TARGET_FAILED,
                            Execution.UNKNOWN,
                            "the target answered with status " + head.getStatus()));
        }
        mWinner = runner.attempt();
        mPool.firstAnswer(
                mRequest.streamed(),
                runner.choice().expectedNanos(),
                mNanoClock.getAsLong() - runner.startNanos());
        for (Runner other : Set.copyOf(mRunners.values())) {
            if (!other.equals(runner)) {
                cancel(other);
            }
        }
        mSink.head(head);
        return Optional.empty();
    }

    private Optional<AttemptResult> acceptBody(Runner runner, ByteString data) {
        mSink.body(data);
        runner.attempt().consumed(data.size());
        return Optional.empty();
    }

    private Optional<AttemptResult> acceptEnd(Runner runner, AttemptResult result) {
        mRunners.remove(runner.attempt());
        return switch (result) {
            case AttemptResult.Completed completed -> {
                ended(runner, TargetPool.AttemptEnd.SUCCEEDED, completed.usage(), completed.load());
                yield Optional.of(completed);
            }
            case AttemptResult.Failed failed -> {
                ended(runner, healthOf(failed), failed.usage(), failed.load());
                AttemptResult.Failed combined = failure(failed);
                yield mRunners.isEmpty() ? Optional.of(combined) : Optional.empty();
            }
        };
    }

    /** A model engine's server error is a failed attempt; a service's answer is passed through. */
    private boolean isModelError(ResponseHead response) {
        return mRequest.kind() == CallKind.CALL_KIND_MODEL
                && response.getStatus() >= FIRST_ERROR_STATUS;
    }

    private AttemptResult.Failed failure(AttemptResult.Failed failed) {
        mExecution = Executions.combine(mExecution, failed.execution());
        return new AttemptResult.Failed(
                failed.code(),
                mExecution,
                failed.message(),
                failed.retryAfterMillis(),
                failed.usage(),
                failed.load());
    }

    private static TargetPool.AttemptEnd healthOf(AttemptResult.Failed failed) {
        return switch (failed.code()) {
            case TARGET_FAILED, TARGET_TIMEOUT, TARGET_UNREACHABLE, ATTEMPT_LOST, STALLED ->
                    TargetPool.AttemptEnd.FAILED;
            default -> TargetPool.AttemptEnd.ABANDONED;
        };
    }

    private AttemptResult timedOut() {
        boolean stalled = mWinner != null;
        for (Runner runner : Set.copyOf(mRunners.values())) {
            runner.attempt().cancel();
            ended(
                    runner,
                    TargetPool.AttemptEnd.FAILED,
                    Usage.getDefaultInstance(),
                    Optional.empty());
        }
        mRunners.clear();
        return failure(
                stalled
                        ? AttemptResult.Failed.of(
                                ResultCode.STALLED,
                                Execution.RUN,
                                "no part of the answer for " + mStallMillis + " ms")
                        : AttemptResult.Failed.of(
                                ResultCode.TARGET_TIMEOUT,
                                Execution.UNKNOWN,
                                "no answer within the time allowed"));
    }

    // Hedging

    private boolean hedgeIsDue() {
        return mNanoClock.getAsLong() < mDeadlineNanos && hedgeDelayNanos().isPresent();
    }

    private void tryHedge(HedgeStarter hedges) {
        mHedgeTried = true;
        Runner first = mRunners.values().iterator().next();
        long elapsedNanos = mNanoClock.getAsLong() - first.startNanos();
        hedges.startHedge(mUsedNodes, elapsedNanos - first.choice().expectedNanos())
                .ifPresent(this::add);
    }

    // Bookkeeping

    private void add(Runner runner) {
        mRunners.put(runner.attempt(), runner);
        mUsedNodes.add(runner.target().node());
    }

    private void cancelAll() {
        for (Runner runner : Set.copyOf(mRunners.values())) {
            cancel(runner);
        }
    }

    /** A cancelled attempt reports nothing more, so whether it was run stays unknown. */
    private void cancel(Runner runner) {
        mRunners.remove(runner.attempt());
        runner.attempt().cancel();
        mExecution = Executions.combine(mExecution, Execution.UNKNOWN);
        ended(
                runner,
                TargetPool.AttemptEnd.ABANDONED,
                Usage.getDefaultInstance(),
                Optional.empty());
    }

    private void ended(Runner runner, TargetPool.AttemptEnd end, Usage usage, Optional<Load> load) {
        mPool.attemptEnded(mRequest, runner.target(), end, usage, load);
    }

    private Optional<Attempt.Tagged> next() {
        try {
            return Optional.ofNullable(mEvents.poll(waitNanos(), TimeUnit.NANOSECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    private long waitNanos() {
        if (mWinner != null) {
            return TimeUnit.MILLISECONDS.toNanos(mStallMillis);
        }
        long untilDeadline = Math.max(0, mDeadlineNanos - mNanoClock.getAsLong());
        long untilHedge = Math.max(0, hedgeDelayNanos().orElse(untilDeadline));
        return Math.min(untilDeadline, untilHedge);
    }

    /**
     * Returns the delay after which the first attempt is hedged; empty if it is not. A call is
     * hedged at most once, before its first answer, and only if it may be repeated.
     */
    private OptionalLong hedgeDelayNanos() {
        boolean mayBeHedged = mWinner == null && !mHedgeTried && mRequest.repeatable();
        if (!mayBeHedged || mRunners.isEmpty()) {
            return OptionalLong.empty();
        }
        Runner first = mRunners.values().iterator().next();
        return mPool.hedgeDelayNanos(mRequest.streamed(), first.choice());
    }
}
