package org.oleandertrack.server.entry;

import java.util.Optional;

/** A call that runs in this process, with the target of its latest attempt. Thread safe. */
final class ActiveCall {

    private final CallerRequest mRequest;
    private final long mStartNanos;
    private volatile TargetHandle mTarget;
    private volatile long mDispatchNanos;

    ActiveCall(CallerRequest request, long startNanos) {
        mRequest = request;
        mStartNanos = startNanos;
    }

    /** Records that an attempt is sent to a target. */
    void recordDispatch(TargetHandle target, long nowNanos) {
        mDispatchNanos = nowNanos;
        mTarget = target;
    }

    CallerRequest request() {
        return mRequest;
    }

    long startNanos() {
        return mStartNanos;
    }

    /** Returns the target of the latest attempt; empty before the first attempt is sent. */
    Optional<TargetHandle> target() {
        return Optional.ofNullable(mTarget);
    }

    /** Returns when the latest attempt was sent; 0 before the first one. */
    long dispatchNanos() {
        return mDispatchNanos;
    }
}
