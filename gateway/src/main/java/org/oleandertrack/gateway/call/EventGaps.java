package org.oleandertrack.gateway.call;

import java.util.Arrays;
import java.util.OptionalDouble;

/**
 * Pauses between the first events of a stream. Events that arrive together count as one arrival,
 * and the pause before it is divided among them. The last arrival is left out, because its event
 * may have fewer tokens than the others. Confined to the call's event loop.
 */
final class EventGaps {

    private static final int MAX_GAPS = 32;
    private static final int MIN_GAPS = 2;
    // Below the shortest step of an engine.
    private static final long SAME_ARRIVAL_NANOS = 200_000;
    private static final double NANOS_PER_MILLI = 1e6;

    private final double[] mGapMillis = new double[MAX_GAPS];
    private int mCount;
    private boolean mHasArrival;
    private boolean mHasPrevious;
    private long mPreviousNanos;
    private long mArrivalNanos;
    private int mArrivalEvents;

    void recordEvent(long nowNanos) {
        if (mHasArrival && nowNanos - mArrivalNanos < SAME_ARRIVAL_NANOS) {
            mArrivalEvents++;
            return;
        }
        if (mHasPrevious && mCount < MAX_GAPS) {
            mGapMillis[mCount++] =
                    (mArrivalNanos - mPreviousNanos) / NANOS_PER_MILLI / mArrivalEvents;
        }
        mHasPrevious = mHasArrival;
        mPreviousNanos = mArrivalNanos;
        mHasArrival = true;
        mArrivalNanos = nowNanos;
        mArrivalEvents = 1;
    }

    /**
     * Returns the lower third of the pauses in milliseconds, which the prefill of other requests
     * lengthens less often than the median; empty if there were too few.
     */
    OptionalDouble usualMillis() {
        if (mCount < MIN_GAPS) {
            return OptionalDouble.empty();
        }
        double[] sorted = Arrays.copyOf(mGapMillis, mCount);
        Arrays.sort(sorted);
        return OptionalDouble.of(sorted[mCount / 3]);
    }
}
