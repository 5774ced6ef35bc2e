package org.oleandertrack.gateway.peer;

import java.util.concurrent.TimeUnit;

/** Whether a peer responds to calls about permits of organisations. Thread-safe. */
final class IssuerContact {

    private static final long SKIP_NANOS = TimeUnit.SECONDS.toNanos(1);

    private boolean mSilent;
    private long mSilentSinceNanos;
    private long mSkippedUntilNanos;

    /** Returns false for one second after a call without a response. */
    synchronized boolean mayAsk(long nowNanos) {
        return !mSilent || nowNanos - mSkippedUntilNanos >= 0;
    }

    /** Returns whether the last call got no response. */
    synchronized boolean isSilent() {
        return mSilent;
    }

    /** Returns whether no call got a response for longer than the given time. */
    synchronized boolean isSilentFor(long nanos, long nowNanos) {
        return mSilent && nowNanos - mSilentSinceNanos > nanos;
    }

    synchronized void recordResponse() {
        mSilent = false;
    }

    synchronized void recordSilence(long nowNanos) {
        if (!mSilent) {
            mSilent = true;
            mSilentSinceNanos = nowNanos;
        }
        mSkippedUntilNanos = nowNanos + SKIP_NANOS;
    }
}
