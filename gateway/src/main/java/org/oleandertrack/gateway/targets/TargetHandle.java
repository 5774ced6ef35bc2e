package org.oleandertrack.gateway.targets;

import org.oleandertrack.core.discovery.TargetRecord;
import org.oleandertrack.core.turn.TargetState;

/** One incarnation of a target. The state is guarded by the lock of its service. */
public final class TargetHandle {

    private final TargetRecord mRecord;
    private final TargetState mState;
    private final TargetConnections mConnections;
    private volatile boolean mRemoved;

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

    void markRemoved() {
        mRemoved = true;
    }
}
