package org.oleandertrack.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.oleandertrack.core.queue.FairShares;
import org.oleandertrack.core.queue.OrganisationWeights;
import org.oleandertrack.core.result.ResultCode;

/**
 * Decides at the start of a program whether it is admitted. Calls of an admitted program are never
 * refused here, so programs in progress take precedence over new ones.
 *
 * <p>Prediction: the mean service time of a program (the time that its calls run) and the mean
 * duration of a program whose calls never wait are taken from programs that ended. The demand ratio
 * is the service time that the admitted programs together need, divided by the service time that
 * the slots provide in the same time. If it exceeds 1, the duration of each program is predicted to
 * grow by this factor, the stretch. A new program is refused with {@link ResultCode#OVERLOADED} if
 * the time by which programs are predicted to take longer, or the predicted wait of a single call,
 * exceeds the maximum wait of its class.
 *
 * <p>Fairness: while the admitted programs need all slots, an organisation without credit is
 * refused with {@link ResultCode#ORGANISATION_LIMIT_REACHED} as long as another organisation that
 * recently asked for admission is in credit (see {@link FairShares}).
 *
 * <p>Not thread-safe: the owner guards each instance with its own lock.
 */
public final class AdmissionControl {

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MIN_RETRY_MILLIS = 200;
    private static final long MAX_RETRY_MILLIS = 30_000;
    // Weight of the newest program in the means: about the last 100 programs count.
    private static final double MEAN_WEIGHT = 0.01;

    private final AdmissionConfig mConfig;
    private final FairShares mShares;
    private final RandomGenerator mRandom;
    private final Map<String, AdmittedProgram> mAdmitted = new HashMap<>();
    // Time of the last request for admission by organisation, oldest first.
    private final LinkedHashMap<String, Long> mLastRequestNanos = new LinkedHashMap<>();
    private double mMeanServiceNanos;
    private double mMeanDurationNanos;
    private int mSlots;

    /**
     * Creates an instance without admitted programs.
     *
     * @param weights weights of the organisations
     * @param slots number of calls that the targets together run at a time for the programs of this
     *     process; positive
     * @param random randomizes the retry times of refused programs
     * @throws IllegalArgumentException if the number of slots is not positive
     */
    public AdmissionControl(
            AdmissionConfig config,
            OrganisationWeights weights,
            int slots,
            RandomGenerator random) {
        mConfig = config;
        mShares = new FairShares(weights, config.quantumNanos());
        mRandom = random;
        mMeanServiceNanos = config.expectedServiceNanos();
        mMeanDurationNanos = config.expectedDurationNanos();
        setSlots(slots);
    }

    // Accessors

    /**
     * Sets the number of slots after targets joined or left.
     *
     * @throws IllegalArgumentException if the number is not positive
     */
    public void setSlots(int slots) {
        if (slots <= 0) {
            throw new IllegalArgumentException("slots is not positive: " + slots);
        }
        mSlots = slots;
    }

    /** Returns the number of admitted programs that have not ended. */
    public int admittedCount() {
        return mAdmitted.size();
    }

    /**
     * Returns the factor by which waiting is predicted to lengthen programs if one more is
     * admitted; at least 1.
     */
    public double predictedStretch() {
        return Math.max(1, demandRatio(mAdmitted.size() + 1));
    }

    // Operations

    /**
     * Admits or refuses a program. A program that is already admitted stays admitted.
     *
     * @param program id of the program, unique across organisations
     * @param organisation organisation of the program
     * @param maxWaitNanos maximum wait of the program's class, in nanoseconds
     * @param callWaitNanos predicted wait of a call placed now, in nanoseconds
     */
    public AdmissionResult admit(
            String program,
            String organisation,
            long maxWaitNanos,
            long callWaitNanos,
            long nowNanos) {
        if (mAdmitted.containsKey(program)) {
            return new AdmissionResult.Admitted();
        }
        mLastRequestNanos.remove(organisation);
        mLastRequestNanos.put(organisation, nowNanos);
        double lengtheningNanos = (predictedStretch() - 1) * mMeanDurationNanos;
        if (lengtheningNanos > maxWaitNanos || callWaitNanos > maxWaitNanos) {
            long retryNanos = Math.max(callWaitNanos, nanosUntilCapacity(maxWaitNanos));
            return refuse(ResultCode.OVERLOADED, retryNanos);
        }
        boolean saturated = demandRatio(mAdmitted.size() + 1) > 1;
        if (saturated && !hasCredit(organisation, nowNanos)) {
            return refuse(ResultCode.ORGANISATION_LIMIT_REACHED, nanosUntilCapacity(0));
        }
        long chargedNanos = (long) mMeanServiceNanos;
        mShares.charge(organisation, chargedNanos);
        mAdmitted.put(program, new AdmittedProgram(organisation, chargedNanos, nowNanos));
        return new AdmissionResult.Admitted();
    }

    /** Records that a program sent a call, so that {@link #dropIdle} keeps it. */
    public void recordActivity(String program, long nowNanos) {
        mAdmitted.computeIfPresent(
                program,
                (id, admitted) ->
                        new AdmittedProgram(
                                admitted.organisation(), admitted.chargedNanos(), nowNanos));
    }

    /**
     * Ends a program. Does nothing if it is not admitted.
     *
     * @param serviceNanos service time that its calls attained, in nanoseconds
     * @param durationNanos duration of the program without the time that its calls waited, in
     *     nanoseconds
     * @param complete whether the program ran to its end; only such programs affect the means
     */
    public void end(String program, long serviceNanos, long durationNanos, boolean complete) {
        AdmittedProgram admitted = mAdmitted.remove(program);
        if (admitted == null) {
            return;
        }
        mShares.charge(admitted.organisation(), serviceNanos - admitted.chargedNanos());
        if (complete) {
            mMeanServiceNanos += MEAN_WEIGHT * (serviceNanos - mMeanServiceNanos);
            mMeanDurationNanos += MEAN_WEIGHT * (durationNanos - mMeanDurationNanos);
        }
    }

    /** Removes programs that sent no call for longer than the given time in nanoseconds. */
    public void dropIdle(long idleNanos, long nowNanos) {
        mAdmitted.values().removeIf(admitted -> nowNanos - admitted.lastActiveNanos() > idleNanos);
    }

    // Helpers

    private double demandRatio(int programs) {
        return programs * mMeanServiceNanos / (mMeanDurationNanos * mSlots);
    }

    // Advances the rounds if no organisation that asked recently is in credit.
    private boolean hasCredit(String organisation, long nowNanos) {
        while (!mLastRequestNanos.isEmpty()
                && nowNanos - mLastRequestNanos.firstEntry().getValue()
                        > mConfig.recentRequestNanos()) {
            mLastRequestNanos.pollFirstEntry();
        }
        List<String> competing = new ArrayList<>(mLastRequestNanos.keySet());
        mShares.advanceRoundsFor(competing);
        return mShares.isInCredit(organisation);
    }

    // Predicted time until enough programs have ended for another one to be admitted with the given
    // maximum wait.
    private long nanosUntilCapacity(long maxWaitNanos) {
        double allowedStretch = 1 + maxWaitNanos / mMeanDurationNanos;
        double allowedPrograms = allowedStretch * mMeanDurationNanos * mSlots / mMeanServiceNanos;
        double excessPrograms = Math.max(1, mAdmitted.size() + 1 - allowedPrograms);
        return (long) (excessPrograms * mMeanServiceNanos / mSlots);
    }

    // Adds up to half of the retry time at random, so that programs refused at the same time do not
    // all return at the same time.
    private AdmissionResult refuse(ResultCode code, long retryNanos) {
        long millis = Math.clamp(retryNanos / NANOS_PER_MILLI, MIN_RETRY_MILLIS, MAX_RETRY_MILLIS);
        return new AdmissionResult.Refused(code, millis + mRandom.nextLong(millis / 2 + 1));
    }

    private record AdmittedProgram(String organisation, long chargedNanos, long lastActiveNanos) {}
}
