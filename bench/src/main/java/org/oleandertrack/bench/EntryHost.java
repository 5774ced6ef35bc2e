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

/** The product's placement, health, hedge and retry policies as one entry host applies them. */
final class EntryHost implements Dispatcher {

    private static final long REPORT_INTERVAL_NANOS = SECOND;
    private static final int MAX_ATTEMPTS = 4;
    // A hedge watches the time to this many tokens: it covers the wait, the prompt and the speed.
    private static final int WATCHED_TOKENS = 8;

    private final VirtualClock mClock;
    private final Map<String, Target> mTargets = new LinkedHashMap<>();
    private final AttainedService mAttained;
    private final HealthTracker mHealth = new HealthTracker(HealthConfig.DEFAULT);
    private final HedgePolicy mHedges = new HedgePolicy();
    private final RetryPolicy mRetries;
    private final Placement mPlacement;
    private final PrefixLocations mPrefixes = new PrefixLocations(100_000);
    private final boolean mHedging;
    private long mCalls;
    private long mAttempts;
    private long mHedged;

    EntryHost(
            VirtualClock clock,
            List<Target> targets,
            int slots,
            AttainedService attained,
            boolean hedging,
            RandomGenerator random) {
        mClock = clock;
        mAttained = attained;
        mHedging = hedging;
        mRetries = new RetryPolicy(100 * MILLISECOND, 5 * SECOND, MAX_ATTEMPTS, random);
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

    long hedged() {
        return mHedged;
    }

    /** Takes load reports at a fixed interval until the given time; each is one interval old. */
    void takeReports(long untilNanos) {
        for (Map.Entry<String, Target> target : mTargets.entrySet()) {
            mClock.every(
                    REPORT_INTERVAL_NANOS,
                    untilNanos,
                    () ->
                            mPlacement
                                    .target(target.getKey())
                                    .ifPresent(
                                            load -> load.recordReport(target.getValue().load())));
        }
    }

    /** Frees the prefix of a program that has ended. */
    void release(Program program) {
        mPrefixes
                .find(program.id())
                .ifPresent(at -> mTargets.get(at.targetId()).engine().release(program.id()));
        mPrefixes.forget(program.id());
        mAttained.forget(program.id());
    }

    @Override
    public void dispatch(Call call, Consumer<Attempt.Outcome> done) {
        mCalls++;
        mHedges.recordCall();
        mRetries.recordCall();
        new Dispatch(call, done).send();
    }

    /** One call with all its attempts. */
    private final class Dispatch {
        private final Call mCall;
        private final Consumer<Attempt.Outcome> mDone;
        private final Set<String> mTried = new HashSet<>();
        private final List<Sent> mUnderWay = new ArrayList<>();
        private int mFailures;
        private boolean mEnded;

        private Dispatch(Call call, Consumer<Attempt.Outcome> done) {
            mCall = call;
            mDone = done;
        }

        private boolean send() {
            if (!(choose() instanceof PlacementResult.Placed placed)) {
                return false;
            }
            sendTo(placed);
            return true;
        }

        private PlacementResult choose() {
            PlacementRequest request =
                    PlacementRequest.of(mCall.promptTokens()).withExcluded(mTried);
            request = mPrefixes.find(mCall.program().id()).map(request::withPrefix).orElse(request);
            return mPlacement.choose(request, mClock.now());
        }

        private void sendTo(PlacementResult.Placed placed) {
            mAttempts++;
            String id = placed.targetId();
            mTried.add(id);
            mPlacement.target(id).ifPresent(TargetLoad::recordSent);
            mHealth.recordSent(id);
            Sent sent = new Sent(this, id, placed.predicted().totalNanos());
            mUnderWay.add(sent);
            mTargets.get(id).submit(sent.mAttempt);
            OptionalLong delay =
                    mHedges.delayNanos(
                            sent.mExpectedNanos, mCall.promptTokens() * Engine.PREFILL_NANOS);
            if (mHedging && delay.isPresent()) {
                mClock.after(delay.getAsLong(), this::hedge);
            }
        }

        private void hedge() {
            if (mEnded || mUnderWay.size() != 1 || mUnderWay.get(0).mWatched) {
                return;
            }
            Sent first = mUnderWay.get(0);
            long late = mClock.now() - first.mSentNanos - first.mExpectedNanos;
            if (choose() instanceof PlacementResult.Placed placed
                    && mHedges.tryHedge(true, late, placed.predicted().costNanos())) {
                mHedged++;
                sendTo(placed);
            }
        }

        private void ended(Sent sent, Attempt.Outcome outcome, long serviceNanos) {
            mUnderWay.remove(sent);
            mPlacement.target(sent.mTargetId).ifPresent(load -> load.recordFinished(serviceNanos));
            mAttained.add(mCall.program().id(), serviceNanos, mClock.now());
            switch (outcome) {
                case DONE -> succeeded(sent, serviceNanos);
                case FAILED -> {
                    mHealth.recordFailure(sent.mTargetId, mClock.now());
                    failed(outcome);
                }
                default -> {
                    mHealth.recordAbandoned(sent.mTargetId);
                    failed(outcome);
                }
            }
        }

        private void succeeded(Sent sent, long serviceNanos) {
            mHealth.recordSuccess(sent.mTargetId, serviceNanos, mClock.now());
            int tokens = mCall.promptTokens() + mCall.generatedTokens();
            mPrefixes.put(mCall.program().id(), new PrefixLocation(sent.mTargetId, tokens));
            mEnded = true;
            for (Sent other : mUnderWay) {
                mTargets.get(other.mTargetId).cancel(other.mAttempt);
                mPlacement.target(other.mTargetId).ifPresent(load -> load.recordFinished(0));
                mHealth.recordAbandoned(other.mTargetId);
            }
            mUnderWay.clear();
            mDone.accept(Attempt.Outcome.DONE);
        }

        private void failed(Attempt.Outcome outcome) {
            mFailures++;
            if (mEnded || !mUnderWay.isEmpty()) {
                return;
            }
            Execution execution =
                    outcome == Attempt.Outcome.NOT_RUN ? Execution.NOT_RUN : Execution.UNKNOWN;
            switch (mRetries.decideRetry(mFailures, execution, true)) {
                case RetryDecision.Retry(long delayNanos) ->
                        mClock.after(
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

    /** One attempt of a call. */
    private final class Sent implements Attempt.Listener {
        private final Dispatch mDispatch;
        private final String mTargetId;
        private final Attempt mAttempt;
        private final long mSentNanos = mClock.now();
        private final long mExpectedNanos;
        private int mTokens;
        private boolean mWatched;

        private Sent(Dispatch dispatch, String targetId, long expectedNanos) {
            mExpectedNanos = expectedNanos;
            mDispatch = dispatch;
            mTargetId = targetId;
            mAttempt = new Attempt(dispatch.mCall, true, this);
        }

        @Override
        public void progressed(int tokens, long nanos) {
            mHealth.recordTokenTime(mTargetId, tokens, nanos, mClock.now());
            mTokens += tokens;
            int watched = Math.min(WATCHED_TOKENS, mDispatch.mCall.generatedTokens());
            if (!mWatched && mTokens >= watched) {
                mWatched = true;
                mHedges.recordAttempt(mExpectedNanos, mClock.now() - mSentNanos);
            }
        }

        @Override
        public void ended(Attempt.Outcome outcome, long serviceNanos) {
            mDispatch.ended(this, outcome, serviceNanos);
        }
    }
}
