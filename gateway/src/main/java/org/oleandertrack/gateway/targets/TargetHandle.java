package org.oleandertrack.gateway.targets;

import org.oleandertrack.core.discovery.TargetRecord;
import org.oleandertrack.core.turn.TargetState;

/**
 * One incarnation of a target. The state and the time of the last success are guarded by the lock
 * of the service.
 */
public final class TargetHandle {

    private final TargetRecord mRecord;
    private final TargetState mState;
    private final TargetConnections mConnections;
    private volatile boolean mRemoved;
    private boolean mSucceeded;
    private long mLastSuccessNanos;

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

    /** Returns whether the target gets no new work. */
    public boolean isRemoved() {
        return mRemoved;
    }

    TargetState state() {
        return mState;
    }

    boolean hasSucceededSince(long sinceNanos) {
        return mSucceeded && mLastSuccessNanos - sinceNanos >= 0;
    }

    void noteSuccess(long nowNanos) {
        mSucceeded = true;
        mLastSuccessNanos = nowNanos;
    }

    void markRemoved() {
        mRemoved = true;
    }
}
