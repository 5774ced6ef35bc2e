package org.oleandertrack.server.entry;

import java.util.Optional;

/** A call that this process is responsible for. Thread safe. */
final class ActiveCall {

    private final CallerRequest mRequest;
    private final long mStartNanos;
    private volatile TargetHandle mTarget;
    private volatile long mDispatchNanos;

    ActiveCall(CallerRequest request, long startNanos) {
        mRequest = request;
        mStartNanos = startNanos;
    }

    /** Notes that an attempt was sent to a target. */
    void dispatched(TargetHandle target, long nowNanos) {
        mDispatchNanos = nowNanos;
        mTarget = target;
    }

    CallerRequest request() {
        return mRequest;
    }

    long startNanos() {
        return mStartNanos;
    }

    /** Returns the target of the latest attempt; empty while the call waits for its dispatch. */
    Optional<TargetHandle> target() {
        return Optional.ofNullable(mTarget);
    }

    /** Returns when the latest attempt was sent, if one was. */
    long dispatchNanos() {
        return mDispatchNanos;
    }
}
