package org.oleandertrack.server.entry;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.PeerConnection;
import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.Usage;

/**
 * Sends a call to a target and repeats failed attempts where that is allowed: always when the
 * attempt was proved not to have run, otherwise only for repeatable calls. Thread safe.
 */
final class Dispatcher {

    private static final int MAX_ATTEMPTS = 4;

    private final TargetSelector mSelector;
    private final AttemptRunner mRunner;
    private final LongSupplier mNanoClock;

    Dispatcher(TargetSelector selector, AttemptRunner runner, LongSupplier nanoClock) {
        mSelector = selector;
        mRunner = runner;
        mNanoClock = nanoClock;
    }

    // Operations

    /**
     * Runs a call to its end. Blocks.
     *
     * @param sink receives head and body of the successful attempt, but not the end
     * @return the usage of the successful attempt
     */
    Usage run(CallerRequest request, DispatchGrant grant, ResponseSink sink) {
        Set<String> failedTargets = new HashSet<>();
        Execution execution = Execution.NOT_RUN;
        for (int attempt = 1; ; attempt++) {
            TargetHandle target = select(request, grant, failedTargets, execution);
            AttemptResult result = runAt(target, request, grant, attempt, sink);
            if (result instanceof AttemptResult.Completed completed) {
                return completed.usage();
            }
            AttemptResult.Failed failed = (AttemptResult.Failed) result;
            execution = Executions.combine(execution, failed.execution());
            if (!mayRetry(request, grant, failed, attempt, sink)) {
                throw new ResultException(
                        failed.code(), execution, failed.message(), failed.retryAfterMillis());
            }
            failedTargets.add(target.host().hostId());
        }
    }

    // Helpers

    private TargetHandle select(
            CallerRequest request,
            DispatchGrant grant,
            Set<String> failedTargets,
            Execution execution) {
        Optional<TargetHandle> target = mSelector.select(request, grant, failedTargets);
        if (target.isPresent()) {
            return target.get();
        }
        if (!mSelector.isKnown(request.destination())) {
            throw new ResultException(
                    request.maxGeneratedTokens() > 0
                            ? ResultCode.UNKNOWN_MODEL
                            : ResultCode.UNKNOWN_SERVICE,
                    "no target serves '" + request.destination() + "'");
        }
        throw new ResultException(
                ResultCode.NO_TARGET_AVAILABLE,
                execution,
                "no reachable target for '" + request.destination() + "'",
                TargetSelector.RETRY_AFTER_MILLIS);
    }

    private AttemptResult runAt(
            TargetHandle target,
            CallerRequest request,
            DispatchGrant grant,
            int attempt,
            ResponseSink sink) {
        Optional<PeerConnection> connection = target.connection();
        if (connection.isEmpty()) {
            return new AttemptResult.Failed(
                    ResultCode.TARGET_UNREACHABLE,
                    Execution.NOT_RUN,
                    "the connection to " + target.name() + " is closed",
                    TargetSelector.RETRY_AFTER_MILLIS,
                    Usage.getDefaultInstance());
        }
        target.callStarted();
        try {
            Call head = callHead(request, grant, attempt, target, connection.get());
            return mRunner.run(connection.get(), head, request.body(), sink);
        } finally {
            target.callEnded(Optional.empty());
        }
    }

    private boolean mayRetry(
            CallerRequest request,
            DispatchGrant grant,
            AttemptResult.Failed failed,
            int attempt,
            ResponseSink sink) {
        if (attempt >= MAX_ATTEMPTS
                || failed.code() == ResultCode.CANCELLED
                || failed.code() == ResultCode.STALE_FENCE
                || !sink.isUncommitted()
                || mNanoClock.getAsLong() >= grant.startDeadlineNanos()) {
            return false;
        }
        return failed.execution() == Execution.NOT_RUN || request.repeatable();
    }

    private Call callHead(
            CallerRequest request,
            DispatchGrant grant,
            int attempt,
            TargetHandle target,
            PeerConnection connection) {
        return CallHeads.toBuilder(request)
                .setAttemptId(grant.attemptId() + "." + attempt)
                .setShard(grant.shard())
                .setFence(grant.fence())
                .setReceiverIncarnation(connection.peer().getIncarnation())
                .setStartDeadlineReceiverNanos(connection.toPeerNanos(grant.startDeadlineNanos()))
                .setPriorityLevel(grant.priorityLevel())
                .setTarget(target.name())
                .build();
    }

    static long deadlineNanos(long nowNanos, long timeoutMillis) {
        return nowNanos + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    }
}
