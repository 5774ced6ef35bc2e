package org.oleandertrack.server.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.oleandertrack.core.health.HealthConfig;
import org.oleandertrack.core.health.HealthTracker;
import org.oleandertrack.core.health.HedgePolicy;
import org.oleandertrack.core.health.RetryDecision;
import org.oleandertrack.core.health.RetryPolicy;
import org.oleandertrack.core.placement.LoadReport;
import org.oleandertrack.core.placement.Placement;
import org.oleandertrack.core.placement.PlacementConfig;
import org.oleandertrack.core.placement.PlacementRequest;
import org.oleandertrack.core.placement.PlacementResult;
import org.oleandertrack.core.placement.PrefixLocation;
import org.oleandertrack.core.placement.PrefixLocations;
import org.oleandertrack.core.placement.TargetInfo;
import org.oleandertrack.core.placement.TargetLoad;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.protocol.message.Load;
import org.oleandertrack.protocol.message.Usage;

/**
 * The targets that serve one model or provide one service, with their load and health as this entry
 * host estimates them. Each pool is guarded by its own lock. Thread safe.
 */
final class TargetPool {

    /**
     * A chosen target.
     *
     * @param placement why the target was chosen and how long the call is predicted to take there
     * @param recomputeNanos predicted time that another target needs to compute the prompt again
     */
    record Choice(TargetHandle target, PlacementResult.Placed placement, long recomputeNanos) {

        /** Returns the predicted time from the dispatch to the start of the response. */
        long predictedNanos() {
            return placement.predicted().totalNanos();
        }
    }

    /** How an attempt ended, as far as it says something about the health of its target. */
    enum AttemptOutcome {
        SUCCEEDED,
        FAILED,
        /** Ended for a reason that says nothing about the target, such as a cancellation. */
        ABANDONED
    }

    /** Concurrent calls that each target is assumed to run; the host list has no such number. */
    private static final int ASSUMED_SLOTS = 8;

    /** Service time assumed for calls to a target until the first one there has ended. */
    private static final long ASSUMED_SERVICE_TIME_NANOS = 1_000_000_000L;

    /** Cost added to a target in another availability zone. */
    private static final long OTHER_ZONE_COST_NANOS = 1_000_000L;

    private static final int MAX_PREFIX_LOCATIONS = 20_000;
    private static final long INITIAL_MAX_BACKOFF_NANOS = 20_000_000L;
    private static final long MAX_BACKOFF_NANOS = 500_000_000L;
    private static final int MAX_ATTEMPTS = 4;

    private final Supplier<Set<String>> mDrainedTargets;
    private final LongSupplier mNanoClock;
    private final ReentrantLock mLock = new ReentrantLock();
    private final Map<String, TargetHandle> mTargets = new HashMap<>();
    private final HealthTracker mHealth = new HealthTracker(HealthConfig.DEFAULT);
    private final PrefixLocations mPrefixLocations = new PrefixLocations(MAX_PREFIX_LOCATIONS);
    private final HedgePolicy mUnstreamedHedgePolicy = new HedgePolicy();
    private final HedgePolicy mStreamedHedgePolicy = new HedgePolicy();
    private final RetryPolicy mRetryPolicy;
    private final Placement mPlacement;

    TargetPool(
            String ownZone,
            Supplier<Set<String>> drainedTargets,
            RandomGenerator random,
            LongSupplier nanoClock) {
        mDrainedTargets = drainedTargets;
        mNanoClock = nanoClock;
        mRetryPolicy =
                new RetryPolicy(INITIAL_MAX_BACKOFF_NANOS, MAX_BACKOFF_NANOS, MAX_ATTEMPTS, random);
        mPlacement =
                new Placement(
                        PlacementConfig.DEFAULT,
                        ownZone,
                        (from, to) -> from.equals(to) ? 0 : OTHER_ZONE_COST_NANOS,
                        mHealth,
                        random);
    }

    // Membership

    void add(TargetHandle target) {
        mLock.lock();
        try {
            String id = target.node();
            if (mTargets.put(id, target) == null) {
                mHealth.add(id);
                mPlacement.add(
                        new TargetLoad(
                                new TargetInfo(id, target.zone(), ASSUMED_SLOTS),
                                ASSUMED_SERVICE_TIME_NANOS));
            }
        } finally {
            mLock.unlock();
        }
    }

    void remove(TargetHandle target) {
        mLock.lock();
        try {
            String id = target.node();
            if (mTargets.remove(id) != null) {
                mHealth.remove(id);
                mPlacement.remove(id);
                mPrefixLocations.forgetTarget(id);
            }
        } finally {
            mLock.unlock();
        }
    }

    // Operations

    /** Counts a call; retries and hedges are limited to fractions of the number of calls. */
    void countCall(boolean streamed) {
        mLock.lock();
        try {
            mRetryPolicy.recordCall();
            hedgePolicy(streamed).recordCall();
        } finally {
            mLock.unlock();
        }
    }

    /** Chooses a target and counts an attempt there; {@link #recordAttemptEnd} must follow. */
    Optional<Choice> choose(
            CallerRequest request, DispatchContext context, Set<String> excludedNodes) {
        mLock.lock();
        try {
            long promptTokens = request.body().size() / BYTES_PER_TOKEN;
            PlacementRequest placementRequest =
                    new PlacementRequest(
                            promptTokens,
                            mPrefixLocations.find(prefixKey(request)),
                            collectExcludedNodes(context, excludedNodes),
                            request.repeatable());
            return switch (mPlacement.choose(placementRequest, mNanoClock.getAsLong())) {
                case PlacementResult.Placed placed ->
                        Optional.of(recordDispatch(placed, promptTokens));
                case PlacementResult.Refused refused -> Optional.empty();
            };
        } finally {
            mLock.unlock();
        }
    }

    /** Updates load, health and prefix locations after the end of an attempt. */
    void recordAttemptEnd(
            CallerRequest request,
            TargetHandle target,
            AttemptOutcome outcome,
            Usage usage,
            Optional<Load> load) {
        mLock.lock();
        try {
            String id = target.node();
            mPlacement
                    .target(id)
                    .filter(state -> state.inProgress() > 0)
                    .ifPresent(state -> state.recordFinished(usage.getRunNanos()));
            load.ifPresent(report -> recordLoad(id, report));
            switch (outcome) {
                case SUCCEEDED -> recordSuccess(request, id, usage);
                case FAILED -> mHealth.recordFailure(id, mNanoClock.getAsLong());
                case ABANDONED -> mHealth.recordAbandoned(id);
            }
        } finally {
            mLock.unlock();
        }
    }

    /** Records the time from the dispatch of an attempt to the start of its response. */
    void recordResponseStart(boolean streamed, long predictedNanos, long actualNanos) {
        mLock.lock();
        try {
            hedgePolicy(streamed).recordAttempt(predictedNanos, actualNanos);
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Returns the time after which a call whose response has not started may be hedged; empty until
     * enough calls have been recorded.
     */
    OptionalLong hedgeDelayNanos(boolean streamed, Choice choice) {
        mLock.lock();
        try {
            return hedgePolicy(streamed)
                    .delayNanos(choice.predictedNanos(), choice.recomputeNanos());
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Chooses a target for a hedge and counts an attempt there; empty if the call may not be hedged
     * now. {@link #recordAttemptEnd} must follow.
     *
     * @param lateNanos time that the first attempt has taken beyond its predicted time
     */
    Optional<Choice> chooseHedge(
            CallerRequest request,
            DispatchContext context,
            Set<String> excludedNodes,
            long lateNanos) {
        mLock.lock();
        try {
            long promptTokens = request.body().size() / BYTES_PER_TOKEN;
            PlacementRequest placementRequest =
                    PlacementRequest.of(promptTokens)
                            .withExcluded(collectExcludedNodes(context, excludedNodes))
                            .withProbe(false);
            boolean isAllowed =
                    mPlacement.choose(placementRequest, mNanoClock.getAsLong())
                                    instanceof PlacementResult.Placed placed
                            && hedgePolicy(request.streamed())
                                    .tryHedge(
                                            request.repeatable(),
                                            lateNanos,
                                            placed.predicted().totalNanos());
            return isAllowed ? choose(request, context, excludedNodes) : Optional.empty();
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Decides whether a failed call is retried, and after which delay.
     *
     * @param rounds number of rounds run so far
     * @param execution whether a target ran the call in the failed round
     */
    RetryDecision decideRetry(int rounds, Execution execution, boolean repeatable) {
        mLock.lock();
        try {
            return mRetryPolicy.decideRetry(rounds, execution, repeatable);
        } finally {
            mLock.unlock();
        }
    }

    /** Forgets which target holds the prefix of a program that has ended. */
    void forgetProgram(String prefixKey) {
        mLock.lock();
        try {
            mPrefixLocations.forget(prefixKey);
        } finally {
            mLock.unlock();
        }
    }

    // Accessors

    int size() {
        mLock.lock();
        try {
            return mTargets.size();
        } finally {
            mLock.unlock();
        }
    }

    /** Returns the key under which the target that holds a program's prefix is remembered. */
    static String prefixKey(CallerRequest request) {
        return request.organisation() + "/" + request.program().orElse("");
    }

    // Helpers

    /** Approximate size of a token in the request body; used only to compare targets. */
    private static final int BYTES_PER_TOKEN = 4;

    private HedgePolicy hedgePolicy(boolean streamed) {
        return streamed ? mStreamedHedgePolicy : mUnstreamedHedgePolicy;
    }

    private Set<String> collectExcludedNodes(DispatchContext context, Set<String> excludedNodes) {
        Set<String> drainedTargets = mDrainedTargets.get();
        if (context.allowedTargets().isEmpty() && drainedTargets.isEmpty()) {
            return excludedNodes;
        }
        Set<String> allExcludedNodes = new HashSet<>(excludedNodes);
        for (TargetHandle target : mTargets.values()) {
            boolean isAllowed =
                    context.allowedTargets().isEmpty()
                            || context.allowedTargets().contains(target.name());
            if (!isAllowed || drainedTargets.contains(target.name())) {
                allExcludedNodes.add(target.node());
            }
        }
        return allExcludedNodes;
    }

    private Choice recordDispatch(PlacementResult.Placed placed, long promptTokens) {
        mPlacement.target(placed.targetId()).ifPresent(TargetLoad::recordSent);
        mHealth.recordSent(placed.targetId());
        long recomputeNanos = promptTokens * PlacementConfig.DEFAULT.prefillNanosPerToken();
        return new Choice(mTargets.get(placed.targetId()), placed, recomputeNanos);
    }

    private void recordLoad(String id, Load load) {
        mPlacement
                .target(id)
                .ifPresent(
                        state ->
                                state.recordReport(
                                        new LoadReport(
                                                load.getRunning(),
                                                load.getQueued(),
                                                load.getQueuedWorkNanos())));
    }

    private void recordSuccess(CallerRequest request, String id, Usage usage) {
        long nowNanos = mNanoClock.getAsLong();
        if (usage.getGeneratedTokens() > 0) {
            mHealth.recordTokenTime(id, usage.getGeneratedTokens(), usage.getRunNanos(), nowNanos);
        }
        mHealth.recordSuccess(id, usage.getRunNanos(), nowNanos);
        if (request.program().isPresent()) {
            long tokens = usage.getPromptTokens() + usage.getGeneratedTokens();
            mPrefixLocations.put(prefixKey(request), new PrefixLocation(id, tokens));
        }
    }
}
