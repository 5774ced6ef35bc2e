package org.oleandertrack.gateway.targets;

import org.oleandertrack.core.discovery.TargetRecord;
import org.oleandertrack.core.turn.TargetState;

/**
 * One incarnation of a target, that is one run of its process. The state and the time of the last
 * answer are guarded by the lock of the service's {@link ServiceTargets}.
 */
public final class TargetHandle {

    private final TargetRecord mRecord;
    private final TargetState mState;
    private final TargetConnections mConnections;
    private volatile boolean mRemoved;
    private boolean mHasAnswered;
    private long mLastAnswerNanos;

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

    TargetState state() {
        return mState;
    }

    boolean hasAnsweredSince(long sinceNanos) {
        return mHasAnswered && mLastAnswerNanos - sinceNanos >= 0;
    }

    void recordAnswer(long nowNanos) {
        mHasAnswered = true;
        mLastAnswerNanos = nowNanos;
    }

    void markRemoved() {
        mRemoved = true;
    }
}
