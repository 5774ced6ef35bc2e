package org.oleandertrack.gateway.call;

import java.util.HashSet;
import java.util.Set;
import org.oleandertrack.gateway.targets.TargetHandle;

/**
 * Remembers the sends of one call: their number, the targets that may have run the request, and
 * those that are not tried again. Confined to the call's event loop.
 */
final class SendHistory {

    // Limit on the number of times that one call is sent, including sends that a target refuses.
    private static final int MAX_SENDS = 5;
    // A stalled call is sent again. After this many stalls, its latest target is considered hung.
    private static final int MAX_STALLS = 2;

    private final int mMaxTargets;
    private final Set<String> mExcludedTargetIds = new HashSet<>();
    private final Set<String> mMayHaveRunTargetIds = new HashSet<>();
    private int mSendCount;
    private int mRefusalCount;
    private int mStallCount;

    /**
     * Creates the history of a call that was not sent yet.
     *
     * @param maxTargets number of targets that may run the request
     */
    SendHistory(int maxTargets) {
        mMaxTargets = maxTargets;
    }

    // Accessors

    int sendCount() {
        return mSendCount;
    }

    int refusalCount() {
        return mRefusalCount;
    }

    boolean maySendAgain() {
        return mSendCount < MAX_SENDS;
    }

    /** Returns whether another stall can still cause the call to be sent again. */
    boolean mayStall() {
        return mStallCount < MAX_STALLS;
    }

    boolean hasStalled() {
        return mStallCount > 0;
    }

    /** Returns whether a target may have run the request. */
    boolean mayHaveRun() {
        return !mMayHaveRunTargetIds.isEmpty();
    }

    /** Returns whether one more target may run the request. */
    boolean allowsOtherTarget() {
        return mMayHaveRunTargetIds.size() < mMaxTargets;
    }

    Set<String> excludedTargetIds() {
        return mExcludedTargetIds;
    }

    // Operations

    void recordSend() {
        mSendCount++;
    }

    void recordRefusal() {
        mRefusalCount++;
    }

    void recordStall() {
        mStallCount++;
    }

    void recordMayHaveRun(TargetHandle handle) {
        mMayHaveRunTargetIds.add(handle.id());
    }

    /** Leaves a target out of all later sends of the call. */
    void exclude(TargetHandle handle) {
        mExcludedTargetIds.add(handle.id());
    }
}
