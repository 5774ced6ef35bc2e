package org.oleandertrack.gateway.targets;

import java.util.OptionalDouble;
import java.util.concurrent.atomic.AtomicReference;
import org.oleandertrack.core.discovery.TargetRecord;
import org.oleandertrack.core.turn.TargetState;

/**
 * One incarnation of a target, that is one run of its process. The state and the time of the last
 * response are guarded by the lock of the service's {@link ServiceTargets}.
 */
public final class TargetHandle {

    private final TargetRecord mRecord;
    private final TargetState mState;
    private final TargetConnections mConnections;
    private final AtomicReference<OptionalDouble> mRequestsPerSecond =
            new AtomicReference<>(OptionalDouble.empty());
    private volatile boolean mRemoved;
    private boolean mHasResponded;
    private long mLastResponseNanos;

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

    /** Returns the rate to which the target limits all hosts; empty if it states no limit. */
    public OptionalDouble rateLimit() {
        return mRequestsPerSecond.get();
    }

    OptionalDouble replaceRateLimit(OptionalDouble requestsPerSecond) {
        return mRequestsPerSecond.getAndSet(requestsPerSecond);
    }

    TargetState state() {
        return mState;
    }

    boolean hasRespondedSince(long sinceNanos) {
        return mHasResponded && mLastResponseNanos - sinceNanos >= 0;
    }

    void recordResponse(long nowNanos) {
        mHasResponded = true;
        mLastResponseNanos = nowNanos;
    }

    void markRemoved() {
        mRemoved = true;
    }
}
