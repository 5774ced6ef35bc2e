package org.oleandertrack.core.turn;

import org.oleandertrack.core.placement.HealthView;
import org.oleandertrack.core.placement.TargetAssessment;

/**
 * One target as placement sees it. Not thread-safe: the owner guards each instance with its own
 * lock.
 */
public final class TargetState {

    private final String mId;
    private final String mZone;
    private final int mSlots;
    private final LoadEstimate mLoad;
    private final PrefixMemory mPrefixes;
    private final HealthView mHealth;
    private long mAvoidUntilNanos;
    private boolean mAvoided;

    /**
     * Creates an idle target.
     *
     * @param slots requests that it runs at once; positive
     * @param memoryTokens tokens that its memory holds; 0 for a plain service
     * @param service load of the targets of its service
     * @param health what this host's calls to the targets of its service say about them
     */
    public TargetState(
            String id,
            String zone,
            int slots,
            long memoryTokens,
            ServiceLoad service,
            HealthView health) {
        mId = id;
        mZone = zone;
        mSlots = slots;
        mLoad = new LoadEstimate(service, slots);
        mHealth = health;
        mPrefixes = new PrefixMemory(memoryTokens);
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

    public PrefixMemory prefixes() {
        return mPrefixes;
    }

    /** Returns whether others are preferred, because this target failed. */
    public boolean isAvoided(long nowNanos) {
        return (mAvoided && nowNanos < mAvoidUntilNanos)
                || mHealth.assess(mId, nowNanos).use() == TargetAssessment.Use.LAST_RESORT;
    }

    // Operations

    /** Prefers other targets for a while. */
    public void avoid(long untilNanos) {
        mAvoided = true;
        mAvoidUntilNanos = untilNanos;
    }

    /** Notes that the target works. */
    public void succeeded() {
        mAvoided = false;
    }
}
