package org.oleandertrack.core.health;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oleandertrack.core.placement.HealthView;
import org.oleandertrack.core.placement.TargetAssessment;
import org.oleandertrack.core.placement.TargetAssessment.Use;

/**
 * Health of the targets that serve one model, as observed by this process. A target is slow if its
 * time per token is well above the median of all targets. Slow targets are set aside, the slowest
 * first, up to a third of the targets that are not failing; the remaining slow targets get a
 * penalty in placement. A target that fails several times in a row, or a large fraction of its
 * calls, is failing; the number of failing targets is not bounded. Targets that are set aside or
 * failing are probed with single calls and used again after a successful probe. The outcome of a
 * call that was sent before a target started failing does not end the failing state.
 *
 * <p>{@link #assess} only reads the result of the last evaluation, so its cost does not depend on
 * the number of targets. Evaluations run when observations arrive and on {@link #evaluate}.
 *
 * <p>Not thread-safe: the owner guards each instance with its own lock.
 */
public final class HealthTracker implements HealthView {

    /** At most one in this many targets is set aside for being slow. */
    public static final int SET_ASIDE_DIVISOR = 3;

    /** Number of probes allowed per hundred calls. */
    public static final int PROBES_PER_HUNDRED = 1;

    private static final int MAX_SAVED_PROBES = 4;
    // Weight of the newest observation in a target's mean time per token: the last three
    // observations make up most of the mean, so a target that slows down fivefold is detected after
    // one or two.
    private static final double OBSERVATION_WEIGHT = 0.4;
    // Weight of the newest call in the mean duration of a call, by which the penalty is scaled.
    private static final double CALL_TIME_WEIGHT = 0.05;
    // Weight of the newest call in the fraction of failed calls: about five calls count.
    private static final double FAILURE_WEIGHT = 0.2;
    // Failure fraction of a target after a successful probe: above 0, so that it is failing again
    // after fewer failures than a target that never failed.
    private static final double RECOVERED_FAILURE_FRACTION = 0.2;
    // With fewer targets to compare, their median is not meaningful.
    private static final int MIN_COMPARABLE_TARGETS = 3;

    private final HealthConfig mConfig;
    private final ExtraCallAllowance mProbeAllowance =
            new ExtraCallAllowance(PROBES_PER_HUNDRED, MAX_SAVED_PROBES);
    private final Map<String, State> mStates = new HashMap<>();
    private double mMedianNanosPerToken;
    private double mMeanCallNanos;
    private long mLastEvaluationNanos = Long.MIN_VALUE;

    /** Creates a tracker without targets. */
    public HealthTracker(HealthConfig config) {
        mConfig = config;
    }

    // Life-cycle

    /** Adds a target that became reachable. Does nothing if it is present. */
    public void add(String targetId) {
        mStates.computeIfAbsent(targetId, State::new);
    }

    /** Removes a target that has left. */
    public void remove(String targetId) {
        mStates.remove(targetId);
    }

    // Accessors

    @Override
    public TargetAssessment assess(String targetId, long nowNanos) {
        State state = mStates.get(targetId);
        if (state == null) {
            return TargetAssessment.HEALTHY;
        }
        if (state.isSetAsideOrFailing()) {
            boolean probeDue =
                    !state.mProbeInProgress
                            && nowNanos >= state.mNextProbeNanos
                            && mProbeAllowance.isAvailable();
            return new TargetAssessment(
                    probeDue ? Use.PROBE : Use.LAST_RESORT, state.mPenaltyNanos);
        }
        return state.mPenaltyNanos == 0
                ? TargetAssessment.HEALTHY
                : new TargetAssessment(Use.NORMAL, state.mPenaltyNanos);
    }

    /** Returns the number of targets that are set aside because they are slow. */
    public int setAsideCount() {
        return (int) mStates.values().stream().filter(state -> state.mSetAside).count();
    }

    /** Returns the number of failing targets. */
    public int failingCount() {
        return (int) mStates.values().stream().filter(state -> state.mFailing).count();
    }

    /** Returns whether a target is failing. */
    public boolean isFailing(String targetId) {
        State state = mStates.get(targetId);
        return state != null && state.mFailing;
    }

    // Operations

    /**
     * Counts a call that is sent to a target. A call to a target that is set aside or failing is a
     * probe. Each call ends with {@link #recordSuccess}, {@link #recordFailure} or {@link
     * #recordAbandoned}; until a probe has ended, the target gets no other probe.
     */
    public void recordSent(String targetId) {
        mProbeAllowance.recordCall();
        State state = mStates.get(targetId);
        if (state != null && state.isSetAsideOrFailing()) {
            mProbeAllowance.tryTake();
            state.mProbeInProgress = true;
        }
    }

    /**
     * Records the time that a target took to generate a number of tokens of a response. Streams are
     * observed while they run, so that a slow target is found before its calls end.
     *
     * @param tokens number of tokens; positive
     * @param nanos time that the tokens took, in nanoseconds
     * @throws IllegalArgumentException if the number of tokens is not positive
     */
    public void recordTokenTime(String targetId, long tokens, long nanos, long nowNanos) {
        if (tokens <= 0) {
            throw new IllegalArgumentException("tokens is not positive: " + tokens);
        }
        State state = mStates.get(targetId);
        if (state == null) {
            return;
        }
        double nanosPerToken = (double) nanos / tokens;
        boolean noRecentObservation =
                state.mObservationCount == 0
                        || nowNanos - state.mLastObservationNanos
                                > mConfig.maxObservationAgeNanos();
        if (noRecentObservation || (state.mSetAside && state.mProbeInProgress)) {
            // The observation of a probe replaces the earlier ones of a target that was set aside.
            state.mNanosPerToken = nanosPerToken;
        } else {
            state.mNanosPerToken += OBSERVATION_WEIGHT * (nanosPerToken - state.mNanosPerToken);
        }
        state.mObservationCount++;
        state.mLastObservationNanos = nowNanos;
        if (mLastEvaluationNanos == Long.MIN_VALUE
                || nowNanos - mLastEvaluationNanos >= mConfig.minEvaluationIntervalNanos()) {
            evaluate(nowNanos);
        }
    }

    /**
     * Records a successful call.
     *
     * @param callNanos duration of the call at the target, in nanoseconds
     */
    public void recordSuccess(String targetId, long callNanos, long nowNanos) {
        mMeanCallNanos +=
                (mMeanCallNanos == 0 ? 1 : CALL_TIME_WEIGHT) * (callNanos - mMeanCallNanos);
        State state = mStates.get(targetId);
        if (state == null) {
            return;
        }
        if (state.mFailing && !state.mProbeInProgress) {
            return;
        }
        state.mConsecutiveFailures = 0;
        state.mFailureFraction =
                state.mFailing
                        ? RECOVERED_FAILURE_FRACTION
                        : state.mFailureFraction * (1 - FAILURE_WEIGHT);
        state.mFailing = false;
        if (state.mSetAside && state.mProbeInProgress) {
            evaluate(nowNanos);
            if (state.mSetAside) {
                state.scheduleNextProbe(nowNanos);
            }
        }
        state.mProbeInProgress = false;
        if (!state.isSetAsideOrFailing()) {
            state.mProbeIntervalNanos = 0;
        }
    }

    /**
     * Records a failure of a target: its connection could not be opened or broke, or it responded
     * with an error of its own. Refusals because of load and cancelled calls are not failures.
     */
    public void recordFailure(String targetId, long nowNanos) {
        State state = mStates.get(targetId);
        if (state == null) {
            return;
        }
        state.mConsecutiveFailures++;
        state.mFailureFraction += FAILURE_WEIGHT * (1 - state.mFailureFraction);
        boolean wasProbe = state.mProbeInProgress;
        state.mProbeInProgress = false;
        boolean reachesLimit =
                state.mConsecutiveFailures >= mConfig.consecutiveFailures()
                        || state.mFailureFraction >= mConfig.failingFraction();
        if (state.mFailing ? wasProbe : reachesLimit) {
            state.mFailing = true;
            state.scheduleNextProbe(nowNanos);
        }
    }

    /**
     * Records a call that was cancelled, or refused by the target because of its load. Such a call
     * does not affect the target's health.
     */
    public void recordAbandoned(String targetId) {
        State state = mStates.get(targetId);
        if (state != null) {
            state.mProbeInProgress = false;
        }
    }

    /** Compares the targets with each other and sets slow ones aside. */
    public void evaluate(long nowNanos) {
        mLastEvaluationNanos = nowNanos;
        List<State> comparable = new ArrayList<>();
        int notFailingCount = 0;
        for (State state : mStates.values()) {
            notFailingCount += state.mFailing ? 0 : 1;
            if (state.mObservationCount >= mConfig.minObservations()
                    && nowNanos - state.mLastObservationNanos <= mConfig.maxObservationAgeNanos()) {
                comparable.add(state);
            } else {
                state.mRatioToMedian = 1;
            }
        }
        if (comparable.size() < MIN_COMPARABLE_TARGETS) {
            comparable.clear();
        }
        mMedianNanosPerToken = medianNanosPerToken(comparable);
        for (State state : comparable) {
            state.mRatioToMedian =
                    mMedianNanosPerToken > 0 ? state.mNanosPerToken / mMedianNanosPerToken : 1;
        }
        chooseSetAside(notFailingCount / SET_ASIDE_DIVISOR, nowNanos);
        for (State state : mStates.values()) {
            state.mPenaltyNanos = (long) (Math.max(0, state.mRatioToMedian - 1) * mMeanCallNanos);
        }
    }

    // Helpers

    private void chooseSetAside(int maxSetAside, long nowNanos) {
        List<State> slow = new ArrayList<>();
        for (State state : mStates.values()) {
            double ratioLimit = state.mSetAside ? mConfig.recoveredRatio() : mConfig.slowRatio();
            if (!state.mFailing && state.mRatioToMedian > ratioLimit) {
                slow.add(state);
            } else {
                state.mSetAside = false;
            }
        }
        slow.sort(
                Comparator.<State>comparingDouble(state -> -state.mRatioToMedian)
                        .thenComparing(state -> state.mTargetId));
        for (int i = 0; i < slow.size(); i++) {
            State state = slow.get(i);
            boolean setAside = i < maxSetAside;
            if (setAside && !state.mSetAside) {
                state.scheduleNextProbe(nowNanos);
            }
            state.mSetAside = setAside;
        }
    }

    private static double medianNanosPerToken(List<State> comparable) {
        if (comparable.isEmpty()) {
            return 0;
        }
        double[] values = comparable.stream().mapToDouble(state -> state.mNanosPerToken).toArray();
        Arrays.sort(values);
        return values[(values.length - 1) / 2];
    }

    private final class State {
        private final String mTargetId;
        private double mNanosPerToken;
        private int mObservationCount;
        private long mLastObservationNanos;
        private double mRatioToMedian = 1;
        private long mPenaltyNanos;
        private int mConsecutiveFailures;
        private double mFailureFraction;
        private boolean mFailing;
        private boolean mSetAside;
        private boolean mProbeInProgress;
        private long mNextProbeNanos;
        private long mProbeIntervalNanos;

        private State(String targetId) {
            mTargetId = targetId;
        }

        private boolean isSetAsideOrFailing() {
            return mFailing || mSetAside;
        }

        private void scheduleNextProbe(long nowNanos) {
            mProbeIntervalNanos =
                    Math.clamp(
                            2 * mProbeIntervalNanos,
                            mConfig.firstProbeNanos(),
                            mConfig.maxProbeNanos());
            mNextProbeNanos = nowNanos + mProbeIntervalNanos;
        }
    }
}
