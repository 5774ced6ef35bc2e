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
 * host sees them. Guarded by one lock of its own. Thread safe.
 */
final class TargetPool {

    /**
     * A chosen target.
     *
     * @param repeatNanos what a second attempt elsewhere would compute again
     */
    record Choice(TargetHandle target, PlacementResult.Placed placed, long repeatNanos) {

        /** Returns the time after which the first answer was predicted. */
        long expectedNanos() {
            return placed.predicted().totalNanos();
        }
    }

    /** How an attempt at a target ended, for its health. */
    enum AttemptEnd {
        SUCCEEDED,
        FAILED,
        /** Cancelled, refused or lost for reasons that say nothing about the target. */
        ABANDONED
    }

    private static final int ASSUMED_SLOTS = 8;
    private static final long ASSUMED_SERVICE_NANOS = 1_000_000_000L;
    private static final long OTHER_ZONE_NANOS = 1_000_000L;
    private static final int MAX_PREFIXES = 20_000;
    private static final long FIRST_BACKOFF_NANOS = 20_000_000L;
    private static final long MAX_BACKOFF_NANOS = 500_000_000L;
    private static final int MAX_ATTEMPTS = 4;

    private final Supplier<Set<String>> mDrainedTargets;
    private final LongSupplier mNanoClock;
    private final ReentrantLock mLock = new ReentrantLock();
    private final Map<String, TargetHandle> mMembers = new HashMap<>();
    private final HealthTracker mHealth = new HealthTracker(HealthConfig.DEFAULT);
    private final PrefixLocations mPrefixes = new PrefixLocations(MAX_PREFIXES);
    private final HedgePolicy mWholeHedges = new HedgePolicy();
    private final HedgePolicy mStreamHedges = new HedgePolicy();
    private final RetryPolicy mRetries;
    private final Placement mPlacement;

    TargetPool(
            String ownZone,
            Supplier<Set<String>> drainedTargets,
            RandomGenerator random,
            LongSupplier nanoClock) {
        mDrainedTargets = drainedTargets;
        mNanoClock = nanoClock;
        mRetries = new RetryPolicy(FIRST_BACKOFF_NANOS, MAX_BACKOFF_NANOS, MAX_ATTEMPTS, random);
        mPlacement =
                new Placement(
                        PlacementConfig.DEFAULT,
                        ownZone,
                        (from, to) -> from.equals(to) ? 0 : OTHER_ZONE_NANOS,
                        mHealth,
                        random);
    }

    // Membership

    void add(TargetHandle target) {
        mLock.lock();
        try {
            String id = target.node();
            if (mMembers.put(id, target) == null) {
                mHealth.add(id);
                mPlacement.add(
                        new TargetLoad(
                                new TargetInfo(id, target.zone(), ASSUMED_SLOTS),
                                ASSUMED_SERVICE_NANOS));
            }
        } finally {
            mLock.unlock();
        }
    }

    void remove(TargetHandle target) {
        mLock.lock();
        try {
            String id = target.node();
            if (mMembers.remove(id) != null) {
                mHealth.remove(id);
                mPlacement.remove(id);
                mPrefixes.forgetTarget(id);
            }
        } finally {
            mLock.unlock();
        }
    }

    // Operations

    /** Counts a caller's call, from which the allowances of retries and hedges grow. */
    void callCounted(boolean streamed) {
        mLock.lock();
        try {
            mRetries.counted();
            hedges(streamed).counted();
        } finally {
            mLock.unlock();
        }
    }

    /** Chooses a target and counts an attempt there; {@link #attemptEnded} must follow. */
    Optional<Choice> choose(CallerRequest request, DispatchGrant grant, Set<String> excluded) {
        mLock.lock();
        try {
            long promptTokens = request.body().size() / BYTES_PER_TOKEN;
            PlacementRequest wanted =
                    new PlacementRequest(
                            promptTokens,
                            mPrefixes.find(prefixKey(request)),
                            allExcluded(grant, excluded),
                            request.repeatable());
            return switch (mPlacement.choose(wanted, mNanoClock.getAsLong())) {
                case PlacementResult.Placed placed -> Optional.of(sent(placed, promptTokens));
                case PlacementResult.Refused refused -> Optional.empty();
            };
        } finally {
            mLock.unlock();
        }
    }

    /** Takes in the end of an attempt. */
    void attemptEnded(
            CallerRequest request,
            TargetHandle target,
            AttemptEnd end,
            Usage usage,
            Optional<Load> load) {
        mLock.lock();
        try {
            String id = target.node();
            mPlacement
                    .target(id)
                    .filter(state -> state.underWay() > 0)
                    .ifPresent(state -> state.finished(usage.getRunNanos()));
            load.ifPresent(report -> reported(id, report));
            switch (end) {
                case SUCCEEDED -> succeeded(request, id, usage);
                case FAILED -> mHealth.failed(id, mNanoClock.getAsLong());
                case ABANDONED -> mHealth.abandoned(id);
            }
        } finally {
            mLock.unlock();
        }
    }

    /** Takes in the time from the dispatch of an attempt to its first answer. */
    void firstAnswer(boolean streamed, long expectedNanos, long nanos) {
        mLock.lock();
        try {
            hedges(streamed).recorded(expectedNanos, nanos);
        } finally {
            mLock.unlock();
        }
    }

    /** Returns the time after which a call without an answer may be hedged. */
    OptionalLong hedgeDelayNanos(boolean streamed, Choice choice) {
        mLock.lock();
        try {
            return hedges(streamed).delayNanos(choice.expectedNanos(), choice.repeatNanos());
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Chooses a target for a second attempt, if the call may be hedged; {@link #attemptEnded} must
     * follow.
     *
     * @param lateNanos time that the first attempt has taken beyond the predicted one
     */
    Optional<Choice> chooseHedge(
            CallerRequest request, DispatchGrant grant, Set<String> excluded, long lateNanos) {
        mLock.lock();
        try {
            long promptTokens = request.body().size() / BYTES_PER_TOKEN;
            PlacementRequest wanted =
                    PlacementRequest.of(promptTokens)
                            .withExcluded(allExcluded(grant, excluded))
                            .withProbe(false);
            boolean allowed =
                    mPlacement.choose(wanted, mNanoClock.getAsLong())
                                    instanceof PlacementResult.Placed placed
                            && hedges(request.streamed())
                                    .tryHedge(
                                            request.repeatable(),
                                            lateNanos,
                                            placed.predicted().totalNanos());
            return allowed ? choose(request, grant, excluded) : Optional.empty();
        } finally {
            mLock.unlock();
        }
    }

    /** Decides whether a failed call is tried again. */
    RetryDecision afterFailure(int attempts, Execution execution, boolean repeatable) {
        mLock.lock();
        try {
            return mRetries.afterFailure(attempts, execution, repeatable);
        } finally {
            mLock.unlock();
        }
    }

    /** Drops what is known of a program that has ended. */
    void forgetProgram(String prefixKey) {
        mLock.lock();
        try {
            mPrefixes.forget(prefixKey);
        } finally {
            mLock.unlock();
        }
    }

    // Accessors

    int size() {
        mLock.lock();
        try {
            return mMembers.size();
        } finally {
            mLock.unlock();
        }
    }

    static String prefixKey(CallerRequest request) {
        return request.organisation() + "/" + request.program().orElse("");
    }

    // Helpers

    /** A rough length of a token in text, used only to compare targets. */
    private static final int BYTES_PER_TOKEN = 4;

    private HedgePolicy hedges(boolean streamed) {
        return streamed ? mStreamHedges : mWholeHedges;
    }

    private Set<String> allExcluded(DispatchGrant grant, Set<String> excluded) {
        Set<String> drained = mDrainedTargets.get();
        if (grant.allowedTargets().isEmpty() && drained.isEmpty()) {
            return excluded;
        }
        Set<String> all = new HashSet<>(excluded);
        for (TargetHandle target : mMembers.values()) {
            boolean allowed =
                    grant.allowedTargets().isEmpty()
                            || grant.allowedTargets().contains(target.name());
            if (!allowed || drained.contains(target.name())) {
                all.add(target.node());
            }
        }
        return all;
    }

    private Choice sent(PlacementResult.Placed placed, long promptTokens) {
        mPlacement.target(placed.targetId()).ifPresent(TargetLoad::sent);
        mHealth.sent(placed.targetId());
        long repeatNanos = promptTokens * PlacementConfig.DEFAULT.prefillNanosPerToken();
        return new Choice(mMembers.get(placed.targetId()), placed, repeatNanos);
    }

    private void reported(String id, Load load) {
        mPlacement
                .target(id)
                .ifPresent(
                        state ->
                                state.reported(
                                        new LoadReport(
                                                load.getRunning(),
                                                load.getQueued(),
                                                load.getQueuedWorkNanos())));
    }

    private void succeeded(CallerRequest request, String id, Usage usage) {
        long nowNanos = mNanoClock.getAsLong();
        if (usage.getGeneratedTokens() > 0) {
            mHealth.observed(id, usage.getGeneratedTokens(), usage.getRunNanos(), nowNanos);
        }
        mHealth.succeeded(id, usage.getRunNanos(), nowNanos);
        if (request.program().isPresent()) {
            long tokens = usage.getPromptTokens() + usage.getGeneratedTokens();
            mPrefixes.put(prefixKey(request), new PrefixLocation(id, tokens));
        }
    }
}
