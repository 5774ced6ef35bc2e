package org.oleandertrack.protocol;

/**
 * Converts local instants to the earliest instant of a peer's clock that they can be, from stamps
 * of the peer. A stamp was taken between the local sending of the request that it answers and the
 * local arrival of the answer. Thread safe.
 */
final class PeerClock {

    /** Two clocks may run apart by 1 part in this many. */
    private static final long DRIFT_DIVISOR = 1_000;

    /**
     * Stamps kept. With one stamp per second, one with a short way back is likely among them, and
     * the drift allowance of the oldest stays under 10 ms.
     */
    private static final int MAX_STAMPS = 8;

    private volatile Stamp[] mStamps = {};

    private record Stamp(long mSentNanos, long mPeerNanos, long mArrivedNanos) {

        long earliestPeerNanos(long localNanos) {
            long sinceArrival = localNanos - mArrivedNanos;
            // The stamp was taken at an unknown moment between sending and arrival. The clocks may
            // have drifted apart since the one end or, for an earlier instant, before the other.
            long distance = Math.max(localNanos - mSentNanos, -sinceArrival);
            // Rounded up, plus the resolution of the clocks.
            long drift = distance / DRIFT_DIVISOR + 2;
            return mPeerNanos + sinceArrival - drift;
        }
    }

    /**
     * Adds a stamp.
     *
     * @param sentNanos local time before the request for the stamp was sent
     * @param peerNanos the stamp, in the peer's clock
     * @param arrivedNanos local time after the stamp arrived
     */
    synchronized void add(long sentNanos, long peerNanos, long arrivedNanos) {
        Stamp[] old = mStamps;
        int kept = Math.min(old.length, MAX_STAMPS - 1);
        Stamp[] stamps = new Stamp[kept + 1];
        System.arraycopy(old, old.length - kept, stamps, 0, kept);
        stamps[kept] = new Stamp(sentNanos, peerNanos, arrivedNanos);
        mStamps = stamps;
    }

    /**
     * Returns the greatest of the instants that the stamps give. Each is no later than the true
     * one, so the greatest is the most precise.
     */
    long earliestPeerNanos(long localNanos) {
        Stamp[] stamps = mStamps;
        if (stamps.length == 0) {
            throw new IllegalStateException("no stamp of the peer's clock has arrived");
        }
        long best = stamps[0].earliestPeerNanos(localNanos);
        for (int i = 1; i < stamps.length; i++) {
            long candidate = stamps[i].earliestPeerNanos(localNanos);
            // A difference, because readings of a monotonic clock may wrap around.
            if (candidate - best > 0) {
                best = candidate;
            }
        }
        return best;
    }
}
