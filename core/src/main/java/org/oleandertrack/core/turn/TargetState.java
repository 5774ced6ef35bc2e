package org.oleandertrack.core.turn;

import java.util.concurrent.TimeUnit;
import org.oleandertrack.core.placement.HealthView;
import org.oleandertrack.core.placement.TargetAssessment;

/**
 * Load, learned times, prefix cache and health of one target, as used for placement. Not
 * thread-safe: the owner guards each instance with its own lock.
 */
public final class TargetState {

    private final String mId;
    private final String mZone;
    private final int mSlots;
    private final LoadEstimate mLoad;
    private final PrefixCacheModel mPrefixCache;
    private final TargetTimes mTimes;
    private final HealthView mHealth;
    private long mAvoidedUntilNanos;
    private boolean mAvoided;
    private long mPermittedNanos;
    private boolean mRateLimited;

    /**
     * Creates an idle target.
     *
     * @param slots number of requests that it runs at once; positive
     * @param memoryTokens capacity of its prefix cache in tokens; 0 if it is not a model engine
     * @param service load of all targets of its service
     * @param times learned times of the target
     * @param health health of the service's targets, as observed by this host's calls
     */
    public TargetState(
            String id,
            String zone,
            int slots,
            long memoryTokens,
            ServiceLoad service,
            TargetTimes times,
            HealthView health) {
        mId = id;
        mZone = zone;
        mSlots = slots;
        mLoad = new LoadEstimate(service, times, slots);
        mTimes = times;
        mHealth = health;
        mPrefixCache = new PrefixCacheModel(memoryTokens);
    }

    // Accessors

    public String id() {
        return mId;
    }

    public String zone() {
        return mZone;
    }

    public int slots() {
        return mSlots;
    }

    public LoadEstimate load() {
        return mLoad;
    }

    public TargetTimes times() {
        return mTimes;
    }

    public PrefixCacheModel prefixCache() {
        return mPrefixCache;
    }

    /** Returns whether the target is used only if no other is left, because it failed. */
    public boolean isAvoided(long nowNanos) {
        return (mAvoided && nowNanos < mAvoidedUntilNanos)
                || mHealth.assess(mId, nowNanos).use() == TargetAssessment.Use.LAST_RESORT;
    }

    /**
     * Returns the expected wait until the target's rate permits a request, in milliseconds; 0 if
     * the target does not limit its rate.
     */
    public long permitWaitMillis(long nowNanos) {
        return mRateLimited
                ? Math.max(0, TimeUnit.NANOSECONDS.toMillis(mPermittedNanos - nowNanos))
                : 0;
    }

    // Operations

    /** Records that the target's rate permits the next request at the given time. */
    public void recordPermittedAt(long permittedNanos) {
        mRateLimited = true;
        mPermittedNanos = permittedNanos;
    }

    /** Records that the target does not limit its rate any more. */
    public void clearRateLimit() {
        mRateLimited = false;
    }

    /** Avoids the target until the given time or until {@link #clearAvoidance}. */
    public void avoid(long untilNanos) {
        mAvoided = true;
        mAvoidedUntilNanos = untilNanos;
    }

    /** Ends the avoidance after a successful call. */
    public void clearAvoidance() {
        mAvoided = false;
    }
}
