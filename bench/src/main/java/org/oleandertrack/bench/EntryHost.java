package org.oleandertrack.bench;

import static org.oleandertrack.bench.VirtualClock.MILLISECOND;
import static org.oleandertrack.bench.VirtualClock.SECOND;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.oleandertrack.core.health.HealthConfig;
import org.oleandertrack.core.health.HealthTracker;
import org.oleandertrack.core.health.HedgePolicy;
import org.oleandertrack.core.health.RetryDecision;
import org.oleandertrack.core.health.RetryPolicy;
import org.oleandertrack.core.placement.Placement;
import org.oleandertrack.core.placement.PlacementConfig;
import org.oleandertrack.core.placement.PlacementRequest;
import org.oleandertrack.core.placement.PlacementResult;
import org.oleandertrack.core.placement.PrefixLocation;
import org.oleandertrack.core.placement.PrefixLocations;
import org.oleandertrack.core.placement.TargetInfo;
import org.oleandertrack.core.placement.TargetLoad;
import org.oleandertrack.core.queue.AttainedService;
import org.oleandertrack.core.result.Execution;

/**
 * A simulated entry host that applies the product's placement, health, hedge and retry policies.
 */
final class EntryHost implements Dispatcher {

    private static final long REPORT_INTERVAL_NANOS = SECOND;
    private static final int MAX_ATTEMPTS = 4;
    // The hedge delay is based on the time until this many tokens have been generated, so that it
    // includes the time in the queue, the time to compute the prompt and the speed of generation.
    private static final int HEDGE_OBSERVED_TOKENS = 8;

    private final VirtualClock mClock;
    private final Map<String, Target> mTargets = new LinkedHashMap<>();
    private final AttainedService mAttainedService;
    private final HealthTracker mHealth = new HealthTracker(HealthConfig.DEFAULT);
    private final HedgePolicy mHedgePolicy = new HedgePolicy();
    private final RetryPolicy mRetryPolicy;
    private final Placement mPlacement;
    private final PrefixLocations mPrefixLocations = new PrefixLocations(100_000);
    private final boolean mHedgingEnabled;
    private long mCalls;
    private long mAttempts;
    private long mHedgedCalls;

    EntryHost(
            VirtualClock clock,
            List<Target> targets,
            int slots,
            AttainedService attainedService,
            boolean hedgingEnabled,
            RandomGenerator random) {
        mClock = clock;
        mAttainedService = attainedService;
        mHedgingEnabled = hedgingEnabled;
        mRetryPolicy = new RetryPolicy(100 * MILLISECOND, 5 * SECOND, MAX_ATTEMPTS, random);
        mPlacement =
                new Placement(PlacementConfig.DEFAULT, "z", (zone, other) -> 0, mHealth, random);
        for (Target target : targets) {
            String id = "t" + mTargets.size();
            mTargets.put(id, target);
            mHealth.add(id);
            mPlacement.add(new TargetLoad(new TargetInfo(id, "z", slots), 2 * SECOND));
        }
    }

    long calls() {
        return mCalls;
    }

    long attempts() {
        return mAttempts;
    }

    long hedgedCalls() {
        return mHedgedCalls;
    }

    /**
     * Records a load report of each target at a fixed interval until the given time. Placement
     * decisions thus use loads that are up to one interval old.
     */
    void scheduleLoadReports(long untilNanos) {
        for (Map.Entry<String, Target> target : mTargets.entrySet()) {
            mClock.scheduleEvery(
                    REPORT_INTERVAL_NANOS,
                    untilNanos,
                    () ->
                            mPlacement
                                    .target(target.getKey())
                                    .ifPresent(
                                            load -> load.recordReport(target.getValue().load())));
        }
    }

    /** Frees the engine memory that the prefix of an ended program occupies. */
    void release(Program program) {
        mPrefixLocations
                .find(program.id())
                .ifPresent(
                        location ->
                                mTargets.get(location.targetId())
                                        .engine()
                                        .releasePrefix(program.id()));
        mPrefixLocations.forget(program.id());
        mAttainedService.forget(program.id());
    }

    @Override
    public void dispatch(Call call, Consumer<Attempt.Outcome> done) {
        mCalls++;
        mHedgePolicy.recordCall();
        mRetryPolicy.recordCall();
        new CallState(call, done).send();
    }

    /** The state of one call and of all attempts made for it. */
    private final class CallState {
        private final Call mCall;
        private final Consumer<Attempt.Outcome> mDone;
        private final Set<String> mTriedTargetIds = new HashSet<>();
        private final List<SentAttempt> mOpenAttempts = new ArrayList<>();
        private int mFailedAttempts;
        private boolean mEnded;

        private CallState(Call call, Consumer<Attempt.Outcome> done) {
            mCall = call;
            mDone = done;
        }

        /** Sends an attempt to the target that placement chooses; returns false if it refuses. */
        private boolean send() {
            if (!(chooseTarget() instanceof PlacementResult.Placed placed)) {
                return false;
            }
            sendTo(placed);
            return true;
        }

        private PlacementResult chooseTarget() {
            PlacementRequest request =
                    PlacementRequest.of(mCall.promptTokens()).withExcluded(mTriedTargetIds);
            request =
                    mPrefixLocations
                            .find(mCall.program().id())
                            .map(request::withPrefix)
                            .orElse(request);
            return mPlacement.choose(request, mClock.nowNanos());
        }

        private void sendTo(PlacementResult.Placed placed) {
            mAttempts++;
            String id = placed.targetId();
            mTriedTargetIds.add(id);
            mPlacement.target(id).ifPresent(TargetLoad::recordSent);
            mHealth.recordSent(id);
            SentAttempt sent = new SentAttempt(this, id, placed.predicted().totalNanos());
            mOpenAttempts.add(sent);
            mTargets.get(id).submit(sent.mAttempt);
            OptionalLong delayNanos =
                    mHedgePolicy.delayNanos(
                            sent.mExpectedNanos,
                            mCall.promptTokens() * Engine.PREFILL_NANOS_PER_TOKEN);
            if (mHedgingEnabled && delayNanos.isPresent()) {
                mClock.scheduleAfter(delayNanos.getAsLong(), this::sendHedge);
            }
        }

        private void sendHedge() {
            if (mEnded || mOpenAttempts.size() != 1 || mOpenAttempts.get(0).mDelayRecorded) {
                return;
            }
            SentAttempt first = mOpenAttempts.get(0);
            long lateNanos = mClock.nowNanos() - first.mSentNanos - first.mExpectedNanos;
            if (chooseTarget() instanceof PlacementResult.Placed placed
                    && mHedgePolicy.tryHedge(true, lateNanos, placed.predicted().costNanos())) {
                mHedgedCalls++;
                sendTo(placed);
            }
        }

        private void onAttemptEnd(SentAttempt sent, Attempt.Outcome outcome, long serviceNanos) {
            mOpenAttempts.remove(sent);
            mPlacement.target(sent.mTargetId).ifPresent(load -> load.recordFinished(serviceNanos));
            mAttainedService.add(mCall.program().id(), serviceNanos, mClock.nowNanos());
            switch (outcome) {
                case DONE -> onSuccess(sent, serviceNanos);
                case FAILED -> {
                    mHealth.recordFailure(sent.mTargetId, mClock.nowNanos());
                    onFailure(outcome);
                }
                default -> {
                    mHealth.recordAbandoned(sent.mTargetId);
                    onFailure(outcome);
                }
            }
        }

        private void onSuccess(SentAttempt sent, long serviceNanos) {
            mHealth.recordSuccess(sent.mTargetId, serviceNanos, mClock.nowNanos());
            int tokens = mCall.promptTokens() + mCall.generatedTokens();
            mPrefixLocations.put(mCall.program().id(), new PrefixLocation(sent.mTargetId, tokens));
            mEnded = true;
            for (SentAttempt other : mOpenAttempts) {
                mTargets.get(other.mTargetId).cancel(other.mAttempt);
                mPlacement.target(other.mTargetId).ifPresent(load -> load.recordFinished(0));
                mHealth.recordAbandoned(other.mTargetId);
            }
            mOpenAttempts.clear();
            mDone.accept(Attempt.Outcome.DONE);
        }

        private void onFailure(Attempt.Outcome outcome) {
            mFailedAttempts++;
            if (mEnded || !mOpenAttempts.isEmpty()) {
                return;
            }
            Execution execution =
                    outcome == Attempt.Outcome.NOT_RUN ? Execution.NOT_RUN : Execution.UNKNOWN;
            switch (mRetryPolicy.decideRetry(mFailedAttempts, execution, true)) {
                case RetryDecision.Retry(long delayNanos) ->
                        mClock.scheduleAfter(
                                delayNanos,
                                () -> {
                                    if (!send()) {
                                        mDone.accept(outcome);
                                    }
                                });
                case RetryDecision.GiveUp() -> mDone.accept(outcome);
            }
        }
    }

    /** One attempt of a call, sent to one target. */
    private final class SentAttempt implements Attempt.Listener {
        private final CallState mCallState;
        private final String mTargetId;
        private final Attempt mAttempt;
        private final long mSentNanos = mClock.nowNanos();
        private final long mExpectedNanos;
        private int mGeneratedTokens;
        private boolean mDelayRecorded;

        private SentAttempt(CallState callState, String targetId, long expectedNanos) {
            mExpectedNanos = expectedNanos;
            mCallState = callState;
            mTargetId = targetId;
            mAttempt = new Attempt(callState.mCall, true, this);
        }

        @Override
        public void onTokens(int tokens, long nanos) {
            mHealth.recordTokenTime(mTargetId, tokens, nanos, mClock.nowNanos());
            mGeneratedTokens += tokens;
            int observedTokens =
                    Math.min(HEDGE_OBSERVED_TOKENS, mCallState.mCall.generatedTokens());
            if (!mDelayRecorded && mGeneratedTokens >= observedTokens) {
                mDelayRecorded = true;
                mHedgePolicy.recordAttempt(mExpectedNanos, mClock.nowNanos() - mSentNanos);
            }
        }

        @Override
        public void onEnd(Attempt.Outcome outcome, long serviceNanos) {
            mCallState.onAttemptEnd(this, outcome, serviceNanos);
        }
    }
}
