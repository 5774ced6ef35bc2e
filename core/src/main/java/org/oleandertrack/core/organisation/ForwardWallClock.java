package org.oleandertrack.core.organisation;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A wall clock that is not set back: it continues from where it was when the underlying clock is
 * set back while this one is read regularly. Otherwise a clock that is set back and a freeze of
 * equal length would cancel each other out. Thread-safe.
 */
public final class ForwardWallClock implements LongSupplier {

    // Two clocks that are read one after the other differ by the time between the reads.
    private static final long TOLERANCE_MILLIS = 5;

    private final LongSupplier mNanoClock;
    private final LongSupplier mWallClockMillis;
    private long mLeadMillis;
    private long mCorrectionMillis;
    private boolean mRead;

    /**
     * Creates a clock.
     *
     * @param nanoClock monotonic clock, in nanoseconds
     * @param wallClockMillis clock that may be set back, in milliseconds
     */
    public ForwardWallClock(LongSupplier nanoClock, LongSupplier wallClockMillis) {
        mNanoClock = nanoClock;
        mWallClockMillis = wallClockMillis;
    }

    @Override
    public synchronized long getAsLong() {
        long wallMillis = mWallClockMillis.getAsLong();
        long leadMillis = wallMillis - TimeUnit.NANOSECONDS.toMillis(mNanoClock.getAsLong());
        long setBackMillis = mLeadMillis - leadMillis;
        if (mRead && setBackMillis > TOLERANCE_MILLIS) {
            mCorrectionMillis += setBackMillis;
        }
        mLeadMillis = leadMillis;
        mRead = true;
        return wallMillis + mCorrectionMillis;
    }
}
