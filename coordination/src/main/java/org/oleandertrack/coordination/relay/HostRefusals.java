package org.oleandertrack.coordination.relay;

import java.util.concurrent.TimeUnit;

/**
 * Tells a store that is over its rate from one that refuses all calls of this host. A store over
 * its rate still takes a part of each host's calls; one that turns a host away takes none, and
 * peers may reach it. Not thread-safe; times are passed in.
 */
final class HostRefusals {

    // At twice the rate that the store takes, this many refusals in a row happen to a host once in
    // 32 times. A call that is then passed to a peer costs one call more.
    private static final int MIN_REFUSALS = 5;
    private static final long MIN_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private int mRefusals;
    private long mFirstNanos;

    /** Records a call that the store answered, or that failed for another reason. */
    void recordOther() {
        mRefusals = 0;
    }

    /**
     * Records a call that was refused for the rate.
     *
     * @return whether the store seems to refuse all calls of this host
     */
    boolean recordRefusal(long nowNanos) {
        if (mRefusals == 0) {
            mFirstNanos = nowNanos;
        }
        mRefusals++;
        return mRefusals >= MIN_REFUSALS && nowNanos - mFirstNanos >= MIN_NANOS;
    }
}
