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
 * Sends a call to a target and repeats failed attempts where that is allowed: always when the
 * attempt was proved not to have run, otherwise only for repeatable calls. Thread safe.
 */
final class Dispatcher {

    private static final long RETRY_AFTER_MILLIS = 500;

    private final TargetPools mPools;
    private final LongSupplier mNanoClock;
    private final long mStallMillis;

    Dispatcher(TargetPools pools, LongSupplier nanoClock, long stallMillis) {
        mPools = pools;
        mNanoClock = nanoClock;
        mStallMillis = stallMillis;
    }

    // Operations

    /**
     * Runs a call to its end. Blocks.
     *
     * @param sink receives head and body of the successful attempt, but not the end
     * @return the usage of the successful attempt
     */
    Usage run(ActiveCall call, DispatchGrant grant, ResponseSink sink) {
        CallerRequest request = call.request();
        TargetPool pool = mPools.pool(request.destination()).orElseThrow(() -> unknown(request));
        pool.callCounted(request.streamed());
        Set<String> excluded = new HashSet<>();
        Execution execution = Execution.NOT_RUN;
        DecisionKind kind = DecisionKind.PLACEMENT;
        for (int round = 1; ; round++) {
            AttemptResult result = runRound(pool, call, grant, excluded, kind, round, sink);
            if (result instanceof AttemptResult.Completed completed) {
                return completed.usage();
            }
            AttemptResult.Failed failed = (AttemptResult.Failed) result;
            execution = Executions.combine(execution, failed.execution());
            long waitNanos = retryWaitNanos(pool, request, grant, failed, execution, round, sink);
            LockSupport.parkNanos(waitNanos);
            kind = DecisionKind.RETRY;
        }
    }

    // Helpers

    private AttemptResult runRound(
            TargetPool pool,
            ActiveCall call,
            DispatchGrant grant,
            Set<String> excluded,
            DecisionKind kind,
            int round,
            ResponseSink sink) {
        CallerRequest request = call.request();
        LinkedBlockingQueue<Attempt.Tagged> events = new LinkedBlockingQueue<>();
        AttemptRace race = new AttemptRace(request, pool, sink, mNanoClock, mStallMillis, events);
        Optional<AttemptRace.Runner> first =
                mPools.choose(pool, request, grant, excluded, kind)
                        .flatMap(choice -> start(pool, call, grant, choice, round + ".1", events));
        if (first.isEmpty()) {
            return AttemptResult.Failed.of(
                    ResultCode.NO_TARGET_AVAILABLE,
                    Execution.NOT_RUN,
                    "no reachable target for '" + request.destination() + "'");
        }
        AttemptResult result =
                race.run(
                        first.get(),
                        (used, lateNanos) -> {
                            Set<String> all = new HashSet<>(excluded);
                            all.addAll(used);
                            return mPools.chooseHedge(pool, request, grant, all, lateNanos)
                                    .flatMap(
                                            choice ->
                                                    start(
                                                            pool,
                                                            call,
                                                            grant,
                                                            choice,
                                                            round + ".2",
                                                            events));
                        });
        excluded.addAll(race.usedNodes());
        return result;
    }

    /** Sends an attempt to a chosen target; empty if its connection has just closed. */
    private Optional<AttemptRace.Runner> start(
            TargetPool pool,
            ActiveCall call,
            DispatchGrant grant,
            TargetPool.Choice choice,
            String attemptSuffix,
            LinkedBlockingQueue<Attempt.Tagged> events) {
        CallerRequest request = call.request();
        TargetHandle target = choice.target();
        Optional<PeerConnection> connection = target.connection();
        if (connection.isEmpty()) {
            pool.attemptEnded(
                    request,
                    target,
                    TargetPool.AttemptEnd.FAILED,
                    Usage.getDefaultInstance(),
                    Optional.empty());
            return Optional.empty();
        }
        Call head = callHead(request, grant, attemptSuffix, target, connection.get());
        long startNanos = mNanoClock.getAsLong();
        call.dispatched(target, startNanos);
        Attempt attempt = Attempt.start(connection.get(), head, request.body(), events);
        return Optional.of(new AttemptRace.Runner(choice, attempt, startNanos));
    }

    /** Returns the wait before the next round, or fails if there is none. */
    private long retryWaitNanos(
            TargetPool pool,
            CallerRequest request,
            DispatchGrant grant,
            AttemptResult.Failed failed,
            Execution execution,
            int round,
            ResponseSink sink) {
        boolean mustEnd =
                failed.code() == ResultCode.CANCELLED
                        || failed.code() == ResultCode.STALE_FENCE
                        || failed.code() == ResultCode.INVALID_REQUEST
                        || !sink.isUncommitted()
                        || mNanoClock.getAsLong() >= grant.deadlineNanos();
        // The lease that bounded the wait in the queue has been renewed since.
        boolean mayRunAgain = failed.execution() == Execution.NOT_RUN || request.repeatable();
        if (!mustEnd && mayRunAgain && failed.code() == ResultCode.DEADLINE_EXCEEDED) {
            return 0;
        }
        RetryDecision decision =
                mustEnd
                        ? new RetryDecision.GiveUp()
                        : pool.afterFailure(round, failed.execution(), request.repeatable());
        return switch (decision) {
            case RetryDecision.Retry retry -> retry.delayNanos();
            case RetryDecision.GiveUp giveUp ->
                    throw new ResultException(
                            failed.code(),
                            execution,
                            failed.message(),
                            Math.max(failed.retryAfterMillis(), RETRY_AFTER_MILLIS));
        };
    }

    private Call callHead(
            CallerRequest request,
            DispatchGrant grant,
            String attemptSuffix,
            TargetHandle target,
            PeerConnection connection) {
        return CallHeads.toBuilder(request)
                .setAttemptId(grant.attemptId() + "." + attemptSuffix)
                .setShard(grant.shard())
                .setFence(grant.fence())
                .setReceiverIncarnation(connection.peer().getIncarnation())
                .setStartDeadlineReceiverNanos(connection.toPeerNanos(grant.startDeadlineNanos()))
                .setAttainedNanos(grant.attainedNanos())
                .setClassPriority(grant.classPriority())
                .setTarget(target.name())
                .build();
    }

    private static ResultException unknown(CallerRequest request) {
        boolean model = request.kind() == CallKind.CALL_KIND_MODEL;
        return new ResultException(
                model ? ResultCode.UNKNOWN_MODEL : ResultCode.UNKNOWN_SERVICE,
                "no target serves '" + request.destination() + "'");
    }
}
