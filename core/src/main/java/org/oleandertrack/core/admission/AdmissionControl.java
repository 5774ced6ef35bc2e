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
 * Admits whole programs or refuses them early. Calls of an admitted program are never refused here,
 * so work under way comes first.
 *
 * <p>Prediction: a program that never waits takes some time, of which its calls use a part; the
 * mean of both is taken from programs that ended. When the admitted programs together want more
 * than the slots give, each takes longer by that factor. A new program is refused with {@link
 * ResultCode#OVERLOADED} when the time that it would lose exceeds what its class allows, or when
 * the wait predicted for a single call does.
 *
 * <p>Shares: while the admitted programs want all slots, an organisation that has used up its
 * credit is refused with {@link ResultCode#ORGANISATION_LIMIT_REACHED} as long as another one that
 * asked recently is in credit (see {@link FairShares}).
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
    private final Map<String, Admitted> mAdmitted = new HashMap<>();
    private final LinkedHashMap<String, Long> mAsked = new LinkedHashMap<>();
    private double mMeanServiceNanos;
    private double mMeanDurationNanos;
    private int mSlots;

    /**
     * Creates a control without admitted programs.
     *
     * @param slots calls that the targets run at a time for the programs of this process; positive
     * @param random spreads the retry times of refused programs
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
     * Sets the number of slots after targets came or went.
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
    public int admitted() {
        return mAdmitted.size();
    }

    /**
     * Returns the factor by which waiting lengthens programs if one more is admitted; at least 1.
     */
    public double predictedStretch() {
        return Math.max(1, wantedShare(mAdmitted.size() + 1));
    }

    // Operations

    /**
     * Admits a program or refuses it. A program that is admitted already stays so.
     *
     * @param program id of the program, unique among organisations
     * @param organisation its organisation
     * @param maxWaitNanos time that its class allows it to lose by waiting, in nanoseconds
     * @param callWaitNanos wait predicted for a call placed now, in nanoseconds
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
        mAsked.remove(organisation);
        mAsked.put(organisation, nowNanos);
        double lostNanos = (predictedStretch() - 1) * mMeanDurationNanos;
        if (lostNanos > maxWaitNanos || callWaitNanos > maxWaitNanos) {
            long retryNanos = Math.max(callWaitNanos, untilRoomNanos(maxWaitNanos));
            return refuse(ResultCode.OVERLOADED, retryNanos);
        }
        boolean crowded = wantedShare(mAdmitted.size() + 1) > 1;
        if (crowded && !hasCredit(organisation, nowNanos)) {
            return refuse(ResultCode.ORGANISATION_LIMIT_REACHED, untilRoomNanos(0));
        }
        long charged = (long) mMeanServiceNanos;
        mShares.charge(organisation, charged);
        mAdmitted.put(program, new Admitted(organisation, charged, nowNanos));
        return new AdmissionResult.Admitted();
    }

    /** Notes that a program sent a call, so that it is not taken for abandoned. */
    public void active(String program, long nowNanos) {
        mAdmitted.computeIfPresent(
                program,
                (id, admitted) ->
                        new Admitted(admitted.organisation(), admitted.chargedNanos(), nowNanos));
    }

    /**
     * Ends a program. Does nothing if it is not admitted.
     *
     * @param serviceNanos service that its calls attained, in nanoseconds
     * @param durationNanos its duration without the time that its calls waited, in nanoseconds
     * @param complete whether it ran to its end; others tell nothing about the means
     */
    public void ended(String program, long serviceNanos, long durationNanos, boolean complete) {
        Admitted admitted = mAdmitted.remove(program);
        if (admitted == null) {
            return;
        }
        mShares.charge(admitted.organisation(), serviceNanos - admitted.chargedNanos());
        if (complete) {
            mMeanServiceNanos += MEAN_WEIGHT * (serviceNanos - mMeanServiceNanos);
            mMeanDurationNanos += MEAN_WEIGHT * (durationNanos - mMeanDurationNanos);
        }
    }

    /** Drops programs that sent no call for longer than the given time in nanoseconds. */
    public void dropIdle(long idleNanos, long nowNanos) {
        mAdmitted.values().removeIf(admitted -> nowNanos - admitted.activeNanos() > idleNanos);
    }

    // Helpers

    private double wantedShare(int programs) {
        return programs * mMeanServiceNanos / (mMeanDurationNanos * mSlots);
    }

    private boolean hasCredit(String organisation, long nowNanos) {
        while (!mAsked.isEmpty()
                && nowNanos - mAsked.firstEntry().getValue() > mConfig.recentNanos()) {
            mAsked.pollFirstEntry();
        }
        List<String> asking = new ArrayList<>(mAsked.keySet());
        mShares.advanceFor(asking);
        return mShares.inCredit(organisation);
    }

    // Time until so many programs have ended that one more loses no more than allowed.
    private long untilRoomNanos(long maxWaitNanos) {
        double stretch = 1 + maxWaitNanos / mMeanDurationNanos;
        double allowed = stretch * mMeanDurationNanos * mSlots / mMeanServiceNanos;
        double excess = Math.max(1, mAdmitted.size() + 1 - allowed);
        return (long) (excess * mMeanServiceNanos / mSlots);
    }

    // Up to half as long again, so that programs refused together do not return together.
    private AdmissionResult refuse(ResultCode code, long retryNanos) {
        long millis = Math.clamp(retryNanos / NANOS_PER_MILLI, MIN_RETRY_MILLIS, MAX_RETRY_MILLIS);
        return new AdmissionResult.Refused(code, millis + mRandom.nextLong(millis / 2 + 1));
    }

    private record Admitted(String organisation, long chargedNanos, long activeNanos) {}
}
