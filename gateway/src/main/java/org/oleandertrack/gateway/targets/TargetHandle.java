package org.oleandertrack.gateway.targets;

import java.util.Optional;
import org.oleandertrack.core.discovery.TargetRecord;
import org.oleandertrack.core.turn.TargetState;

/**
 * One incarnation of a target, that is one run of its process. The state, the stated rate and the
 * time of the last response are guarded by the lock of the service's {@link ServiceTargets}.
 */
public final class TargetHandle {

    private final TargetRecord mRecord;
    private final TargetState mState;
    private final TargetConnections mConnections;
    private Optional<StatedRate> mStatedRate = Optional.empty();
    private volatile boolean mRemoved;
    private volatile boolean mLost;
    private boolean mHasResponded;
    private long mLastResponseNanos;
    private int mUnansweredRequests;

    TargetHandle(TargetRecord record, TargetState state, TargetConnections connections) {
        mRecord = record;
        mState = state;
        mConnections = connections;
    }

    public TargetRecord record() {
        return mRecord;
    }

    public String id() {
        return mRecord.id();
    }

    public TargetConnections connections() {
        return mConnections;
    }

    /** Returns whether the target was removed and gets no new requests. */
    public boolean isRemoved() {
        return mRemoved;
    }

    /** Returns whether the target was removed without having announced it. */
    public boolean isLost() {
        return mLost;
    }

    /** Returns whether the target was removed because it has announced that it leaves. */
    public boolean isLeaving() {
        return mRemoved && !mLost;
    }

    /** Returns the id of the incarnation, which differs between runs of a target's process. */
    public String incarnationId() {
        return mRecord.incarnationId();
    }

    Optional<StatedRate> statedRate() {
        return mStatedRate;
    }

    void setStatedRate(Optional<StatedRate> statedRate) {
        mStatedRate = statedRate;
    }

    TargetState state() {
        return mState;
    }

    boolean hasRespondedSince(long sinceNanos) {
        return mHasResponded && mLastResponseNanos - sinceNanos >= 0;
    }

    /** Returns the number of requests that have stalled since the target last responded. */
    int unansweredRequests() {
        return mUnansweredRequests;
    }

    void recordResponse(long nowNanos) {
        mHasResponded = true;
        mLastResponseNanos = nowNanos;
        mUnansweredRequests = 0;
    }

    void recordNoResponse() {
        mUnansweredRequests++;
    }

    void markRemoved(boolean announced) {
        mLost = !announced;
        mRemoved = true;
    }
}
