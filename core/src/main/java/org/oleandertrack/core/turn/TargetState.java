package org.oleandertrack.core.turn;

/**
 * One target as placement sees it. Not thread-safe: the owner guards each instance with its own
 * lock.
 */
public final class TargetState {

    private final String mId;
    private final String mZone;
    private final int mSlots;
    private final LoadEstimate mLoad = new LoadEstimate();
    private final PrefixMemory mPrefixes;
    private long mAvoidUntilNanos;
    private boolean mAvoided;

    /**
     * Creates an idle target.
     *
     * @param slots requests that it runs at once; positive
     * @param memoryTokens tokens that its memory holds; 0 for a plain service
     */
    public TargetState(String id, String zone, int slots, long memoryTokens) {
        mId = id;
        mZone = zone;
        mSlots = slots;
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

    /** Returns whether the target failed a short time ago and others are preferred. */
    public boolean isAvoided(long nowNanos) {
        return mAvoided && nowNanos < mAvoidUntilNanos;
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
