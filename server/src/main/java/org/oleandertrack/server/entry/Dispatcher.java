package org.oleandertrack.server.entry;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import org.oleandertrack.core.health.RetryDecision;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.PeerConnection;
import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.CallKind;
import org.oleandertrack.protocol.message.Usage;
import org.oleandertrack.telemetry.logging.DecisionKind;

/**
 * Sends a call to a target and retries failed attempts. An attempt that is known not to have run
 * may always be retried, any other one only if the call may be repeated. Each round of the retry
 * loop is an {@link AttemptRace} of an attempt and its hedge, if there is one. Thread safe.
 */
final class Dispatcher {

    private static final long MIN_RETRY_AFTER_MILLIS = 500;

    private final TargetPools mPools;
    private final LongSupplier mNanoClock;
    private final long mStallTimeoutMillis;

    Dispatcher(TargetPools pools, LongSupplier nanoClock, long stallTimeoutMillis) {
        mPools = pools;
        mNanoClock = nanoClock;
        mStallTimeoutMillis = stallTimeoutMillis;
    }

    // Operations

    /**
     * Runs a call to its end. Blocks.
     *
     * @param sink receives head and body of the response; the caller of this method ends it
     * @return the usage of the successful attempt
     */
    Usage run(ActiveCall call, DispatchContext context, ResponseSink sink) {
        CallerRequest request = call.request();
        TargetPool pool =
                mPools.pool(request.destination()).orElseThrow(() -> unknownDestination(request));
        pool.countCall(request.streamed());
        Set<String> excludedNodes = new HashSet<>();
        Execution execution = Execution.NOT_RUN;
        DecisionKind kind = DecisionKind.PLACEMENT;
        for (int round = 1; ; round++) {
            AttemptResult result = runRound(pool, call, context, excludedNodes, kind, round, sink);
            if (result instanceof AttemptResult.Completed completed) {
                return completed.usage();
            }
            AttemptResult.Failed failed = (AttemptResult.Failed) result;
            execution = Executions.combine(execution, failed.execution());
            long delayNanos =
                    retryDelayNanos(pool, request, context, failed, execution, round, sink);
            LockSupport.parkNanos(delayNanos);
            kind = DecisionKind.RETRY;
        }
    }

    // Helpers

    private AttemptResult runRound(
            TargetPool pool,
            ActiveCall call,
            DispatchContext context,
            Set<String> excludedNodes,
            DecisionKind kind,
            int round,
            ResponseSink sink) {
        CallerRequest request = call.request();
        LinkedBlockingQueue<Attempt.QueuedEvent> events = new LinkedBlockingQueue<>();
        AttemptRace race =
                new AttemptRace(request, pool, sink, mNanoClock, mStallTimeoutMillis, events);
        Optional<AttemptRace.StartedAttempt> first =
                mPools.choose(pool, request, context, excludedNodes, kind)
                        .flatMap(
                                choice ->
                                        startAttempt(
                                                pool, call, context, choice, round + ".1", events));
        if (first.isEmpty()) {
            return AttemptResult.Failed.of(
                    ResultCode.NO_TARGET_AVAILABLE,
                    Execution.NOT_RUN,
                    "no reachable target for '" + request.destination() + "'");
        }
        AttemptResult result =
                race.run(
                        first.get(),
                        (attemptedNodes, lateNanos) -> {
                            Set<String> allExcludedNodes = new HashSet<>(excludedNodes);
                            allExcludedNodes.addAll(attemptedNodes);
                            return mPools.chooseHedge(
                                            pool, request, context, allExcludedNodes, lateNanos)
                                    .flatMap(
                                            choice ->
                                                    startAttempt(
                                                            pool,
                                                            call,
                                                            context,
                                                            choice,
                                                            round + ".2",
                                                            events));
                        });
        excludedNodes.addAll(race.attemptedNodes());
        return result;
    }

    /**
     * Sends an attempt to the chosen target; empty if its connection has closed meanwhile.
     *
     * @param attemptSuffix number of the round, a dot, and 1 for the first attempt or 2 for its
     *     hedge
     */
    private Optional<AttemptRace.StartedAttempt> startAttempt(
            TargetPool pool,
            ActiveCall call,
            DispatchContext context,
            TargetPool.Choice choice,
            String attemptSuffix,
            LinkedBlockingQueue<Attempt.QueuedEvent> events) {
        CallerRequest request = call.request();
        TargetHandle target = choice.target();
        Optional<PeerConnection> connection = target.connection();
        if (connection.isEmpty()) {
            pool.recordAttemptEnd(
                    request,
                    target,
                    TargetPool.AttemptOutcome.FAILED,
                    Usage.getDefaultInstance(),
                    Optional.empty());
            return Optional.empty();
        }
        Call head = buildCallHead(request, context, attemptSuffix, target, connection.get());
        long startNanos = mNanoClock.getAsLong();
        call.recordDispatch(target, startNanos);
        Attempt attempt = Attempt.start(connection.get(), head, request.body(), events);
        return Optional.of(new AttemptRace.StartedAttempt(choice, attempt, startNanos));
    }

    /**
     * Returns the delay before the next round.
     *
     * @throws ResultException with the failure of the last round if the call is not retried
     */
    private long retryDelayNanos(
            TargetPool pool,
            CallerRequest request,
            DispatchContext context,
            AttemptResult.Failed failed,
            Execution execution,
            int round,
            ResponseSink sink) {
        boolean isFinal =
                failed.code() == ResultCode.CANCELLED
                        || failed.code() == ResultCode.STALE_FENCE
                        || failed.code() == ResultCode.INVALID_REQUEST
                        || !sink.isUnsent()
                        || mNanoClock.getAsLong() >= context.deadlineNanos();
        boolean mayRunAgain = failed.execution() == Execution.NOT_RUN || request.repeatable();
        // If the call still has time, the attempt's start deadline may have been the end of the
        // lease. The lease has been renewed since, so the call is retried at once.
        if (!isFinal && mayRunAgain && failed.code() == ResultCode.DEADLINE_EXCEEDED) {
            return 0;
        }
        RetryDecision decision =
                isFinal
                        ? new RetryDecision.GiveUp()
                        : pool.decideRetry(round, failed.execution(), request.repeatable());
        return switch (decision) {
            case RetryDecision.Retry retry -> retry.delayNanos();
            case RetryDecision.GiveUp giveUp ->
                    throw new ResultException(
                            failed.code(),
                            execution,
                            failed.message(),
                            Math.max(failed.retryAfterMillis(), MIN_RETRY_AFTER_MILLIS));
        };
    }

    private Call buildCallHead(
            CallerRequest request,
            DispatchContext context,
            String attemptSuffix,
            TargetHandle target,
            PeerConnection connection) {
        return CallHeadConverter.toBuilder(request)
                .setAttemptId(context.attemptIdPrefix() + "." + attemptSuffix)
                .setShard(context.shard())
                .setFence(context.fence())
                .setReceiverIncarnation(connection.peer().getIncarnation())
                .setStartDeadlineReceiverNanos(connection.toPeerNanos(context.startDeadlineNanos()))
                .setAttainedNanos(context.attainedNanos())
                .setClassPriority(context.classPriority())
                .setTarget(target.name())
                .build();
    }

    private static ResultException unknownDestination(CallerRequest request) {
        boolean isModelCall = request.kind() == CallKind.CALL_KIND_MODEL;
        return new ResultException(
                isModelCall ? ResultCode.UNKNOWN_MODEL : ResultCode.UNKNOWN_SERVICE,
                "no target serves '" + request.destination() + "'");
    }
}
