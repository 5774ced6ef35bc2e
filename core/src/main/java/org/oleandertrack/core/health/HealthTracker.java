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
 * Health of the targets that serve one model, judged by what this process observes. A target is
 * slow when its time per token is well above the median of its peers. Slow targets are set aside,
 * the slowest first, up to a third of the targets that are not failing; the others that are slow
 * carry a penalty. A target that fails several times in a row, or a large part of its calls, is
 * left out, apart from that bound. Both kinds are probed with single calls and return when a probe
 * goes well; the end of a call that was sent before says nothing.
 *
 * <p>{@link #assess} only reads what the last evaluation found, so that its cost does not depend on
 * the number of targets. Evaluations happen when observations arrive, or by {@link #evaluate}.
 *
 * <p>Not thread-safe: the owner guards each instance with its own lock.
 */
public final class HealthTracker implements HealthView {

    /** At most one target out of this many is set aside for being slow. */
    public static final int SET_ASIDE_DIVISOR = 3;

    /** Probes of targets that are left out, for each hundred calls. */
    public static final int PROBES_PER_HUNDRED = 1;

    private static final int MAX_SAVED_PROBES = 4;
    // Weight of the newest observation in a target's time per token: about three observations
    // replace the former value, which finds a target slowed five times after one or two.
    private static final double OBSERVATION_WEIGHT = 0.4;
    // Weight of the newest call in the mean time of a call, which scales the penalty.
    private static final double CALL_WEIGHT = 0.05;
    // Weight of the newest call in the part of calls that fail: about five calls count.
    private static final double FAILURE_WEIGHT = 0.2;
    // The part with which a target returns from a good probe: it is left out again sooner than one
    // that never failed.
    private static final double RETURNED_FAILURE_PART = 0.2;
    // Fewer targets have no meaningful median.
    private static final int MIN_PEERS = 3;

    private final HealthConfig mConfig;
    private final Allowance mProbes = new Allowance(PROBES_PER_HUNDRED, MAX_SAVED_PROBES);
    private final Map<String, State> mStates = new HashMap<>();
    private double mMedianNanos;
    private double mMeanCallNanos;
    private long mEvaluatedNanos = Long.MIN_VALUE;

    /** Creates a tracker without targets. */
    public HealthTracker(HealthConfig config) {
        mConfig = config;
    }

    // Life-cycle

    /** Adds a target that became a member. Does nothing if it is present. */
    public void add(String targetId) {
        mStates.computeIfAbsent(targetId, State::new);
    }

    /** Removes a target that is no longer a member. */
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
        if (state.isLeftOut()) {
            boolean due =
                    !state.mProbing && nowNanos >= state.mNextProbeNanos && mProbes.isAvailable();
            return new TargetAssessment(due ? Use.PROBE : Use.LAST_RESORT, state.mPenaltyNanos);
        }
        return state.mPenaltyNanos == 0
                ? TargetAssessment.HEALTHY
                : new TargetAssessment(Use.NORMAL, state.mPenaltyNanos);
    }

    /** Returns the number of targets set aside because they are slow. */
    public int setAside() {
        return (int) mStates.values().stream().filter(state -> state.mSetAside).count();
    }

    /** Returns the number of targets left out because they fail. */
    public int failing() {
        return (int) mStates.values().stream().filter(state -> state.mFailing).count();
    }

    /** Returns whether a target is left out because it fails. */
    public boolean isFailing(String targetId) {
        State state = mStates.get(targetId);
        return state != null && state.mFailing;
    }

    // Operations

    /**
     * Notes that a call is sent to a target. A call to a target that is left out is a probe. Each
     * call ends with {@link #succeeded}, {@link #failed} or {@link #abandoned}; until then the
     * target gets no other probe.
     */
    public void sent(String targetId) {
        mProbes.counted();
        State state = mStates.get(targetId);
        if (state != null && state.isLeftOut()) {
            mProbes.take();
            state.mProbing = true;
        }
    }

    /**
     * Takes in the time that a target needed for some tokens of an answer. Streams are observed
     * while they run, so that a slow target is found before its calls end.
     *
     * @throws IllegalArgumentException if the number of tokens is not positive
     */
    public void observed(String targetId, long tokens, long nanos, long nowNanos) {
        if (tokens <= 0) {
            throw new IllegalArgumentException("tokens is not positive: " + tokens);
        }
        State state = mStates.get(targetId);
        if (state == null) {
            return;
        }
        double perToken = (double) nanos / tokens;
        boolean fresh =
                state.mObservations == 0 || nowNanos - state.mObservedNanos > mConfig.staleNanos();
        if (fresh || (state.mSetAside && state.mProbing)) {
            // A probe tells more about a target that was left out than what was seen before.
            state.mPerTokenNanos = perToken;
        } else {
            state.mPerTokenNanos += OBSERVATION_WEIGHT * (perToken - state.mPerTokenNanos);
        }
        state.mObservations++;
        state.mObservedNanos = nowNanos;
        if (mEvaluatedNanos == Long.MIN_VALUE
                || nowNanos - mEvaluatedNanos >= mConfig.evaluationNanos()) {
            evaluate(nowNanos);
        }
    }

    /** Notes that a call ended well at a target after the given service in nanoseconds. */
    public void succeeded(String targetId, long callNanos, long nowNanos) {
        mMeanCallNanos += (mMeanCallNanos == 0 ? 1 : CALL_WEIGHT) * (callNanos - mMeanCallNanos);
        State state = mStates.get(targetId);
        if (state == null) {
            return;
        }
        if (state.mFailing && !state.mProbing) {
            return;
        }
        state.mFailuresInRow = 0;
        state.mFailurePart =
                state.mFailing ? RETURNED_FAILURE_PART : state.mFailurePart * (1 - FAILURE_WEIGHT);
        state.mFailing = false;
        if (state.mSetAside && state.mProbing) {
            evaluate(nowNanos);
            if (state.mSetAside) {
                state.postponeProbe(nowNanos);
            }
        }
        state.mProbing = false;
        if (!state.isLeftOut()) {
            state.mProbeIntervalNanos = 0;
        }
    }

    /**
     * Notes that a target failed: its connection could not be opened, broke, or it answered with an
     * error of its own. Refusals because of load, and calls that were cancelled, are not failures.
     */
    public void failed(String targetId, long nowNanos) {
        State state = mStates.get(targetId);
        if (state == null) {
            return;
        }
        state.mFailuresInRow++;
        state.mFailurePart += FAILURE_WEIGHT * (1 - state.mFailurePart);
        boolean wasProbe = state.mProbing;
        state.mProbing = false;
        boolean tooMany =
                state.mFailuresInRow >= mConfig.failuresInRow()
                        || state.mFailurePart >= mConfig.failingPart();
        if (state.mFailing ? wasProbe : tooMany) {
            state.mFailing = true;
            state.postponeProbe(nowNanos);
        }
    }

    /** Notes that a call was cancelled or refused by a target, which says nothing about health. */
    public void abandoned(String targetId) {
        State state = mStates.get(targetId);
        if (state != null) {
            state.mProbing = false;
        }
    }

    /** Compares the targets with each other and sets slow ones aside. */
    public void evaluate(long nowNanos) {
        mEvaluatedNanos = nowNanos;
        List<State> judged = new ArrayList<>();
        int notFailing = 0;
        for (State state : mStates.values()) {
            notFailing += state.mFailing ? 0 : 1;
            if (state.mObservations >= mConfig.minObservations()
                    && nowNanos - state.mObservedNanos <= mConfig.staleNanos()) {
                judged.add(state);
            } else {
                state.mRatio = 1;
            }
        }
        if (judged.size() < MIN_PEERS) {
            judged.clear();
        }
        mMedianNanos = medianNanos(judged);
        for (State state : judged) {
            state.mRatio = mMedianNanos > 0 ? state.mPerTokenNanos / mMedianNanos : 1;
        }
        chooseSetAside(notFailing / SET_ASIDE_DIVISOR, nowNanos);
        for (State state : mStates.values()) {
            state.mPenaltyNanos = (long) (Math.max(0, state.mRatio - 1) * mMeanCallNanos);
        }
    }

    // Helpers

    private void chooseSetAside(int bound, long nowNanos) {
        List<State> slow = new ArrayList<>();
        for (State state : mStates.values()) {
            double limit = state.mSetAside ? mConfig.recoveredRatio() : mConfig.slowRatio();
            if (!state.mFailing && state.mRatio > limit) {
                slow.add(state);
            } else {
                state.mSetAside = false;
            }
        }
        slow.sort(
                Comparator.<State>comparingDouble(state -> -state.mRatio)
                        .thenComparing(state -> state.mTargetId));
        for (int i = 0; i < slow.size(); i++) {
            State state = slow.get(i);
            boolean setAside = i < bound;
            if (setAside && !state.mSetAside) {
                state.postponeProbe(nowNanos);
            }
            state.mSetAside = setAside;
        }
    }

    private static double medianNanos(List<State> judged) {
        if (judged.isEmpty()) {
            return 0;
        }
        double[] values = judged.stream().mapToDouble(state -> state.mPerTokenNanos).toArray();
        Arrays.sort(values);
        return values[(values.length - 1) / 2];
    }

    private final class State {
        private final String mTargetId;
        private double mPerTokenNanos;
        private int mObservations;
        private long mObservedNanos;
        private double mRatio = 1;
        private long mPenaltyNanos;
        private int mFailuresInRow;
        private double mFailurePart;
        private boolean mFailing;
        private boolean mSetAside;
        private boolean mProbing;
        private long mNextProbeNanos;
        private long mProbeIntervalNanos;

        private State(String targetId) {
            mTargetId = targetId;
        }

        private boolean isLeftOut() {
            return mFailing || mSetAside;
        }

        private void postponeProbe(long nowNanos) {
            mProbeIntervalNanos =
                    Math.clamp(
                            2 * mProbeIntervalNanos,
                            mConfig.firstProbeNanos(),
                            mConfig.maxProbeNanos());
            mNextProbeNanos = nowNanos + mProbeIntervalNanos;
        }
    }
}
