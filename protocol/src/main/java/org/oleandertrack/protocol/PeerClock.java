package org.oleandertrack.protocol;

/**
 * Computes a lower bound of a peer's monotonic clock at a local instant, from samples of the peer's
 * clock. A sample is a reading that the peer took at an unknown moment between two local instants:
 * the sending of a request and the arrival of its reply. Thread safe.
 */
final class PeerClock {

    /** Largest relative drift between two clocks, as a divisor: 1 part in 1,000. */
    private static final long MAX_DRIFT_DIVISOR = 1_000;

    /**
     * Number of most recent samples that are kept. At one sample per second, one of them probably
     * has a short reply delay, and the drift allowance of the oldest stays under 10 ms.
     */
    private static final int MAX_SAMPLES = 8;

    private volatile Sample[] mSamples = {};

    /** A reading of the peer's clock and the local instants that enclose it. */
    private record Sample(long mSentNanos, long mPeerNanos, long mArrivedNanos) {

        long peerNanosLowerBound(long localNanos) {
            long sinceArrivalNanos = localNanos - mArrivedNanos;
            // The reading was taken at an unknown moment between sending and arrival. Drift
            // accumulates from that moment to localNanos, so the allowance covers the longest
            // possible distance: from the sending, or from the arrival if localNanos is earlier.
            long maxDistanceNanos = Math.max(localNanos - mSentNanos, -sinceArrivalNanos);
            // Adds 1 to round the division up and 1 for the resolution of the clocks.
            long driftNanos = maxDistanceNanos / MAX_DRIFT_DIVISOR + 2;
            return mPeerNanos + sinceArrivalNanos - driftNanos;
        }
    }

    /**
     * Adds a sample of the peer's clock and drops the oldest if there are too many.
     *
     * @param sentNanos local time before the request was sent
     * @param peerNanos the peer's clock reading in the reply
     * @param arrivedNanos local time after the reply arrived
     */
    synchronized void addSample(long sentNanos, long peerNanos, long arrivedNanos) {
        Sample[] old = mSamples;
        int kept = Math.min(old.length, MAX_SAMPLES - 1);
        Sample[] samples = new Sample[kept + 1];
        System.arraycopy(old, old.length - kept, samples, 0, kept);
        samples[kept] = new Sample(sentNanos, peerNanos, arrivedNanos);
        mSamples = samples;
    }

    /**
     * Returns a lower bound of the peer's clock at a local instant. Every sample gives a lower
     * bound; the greatest one is the most precise.
     *
     * @throws IllegalStateException if no sample has been added
     */
    long peerNanosLowerBound(long localNanos) {
        Sample[] samples = mSamples;
        if (samples.length == 0) {
            throw new IllegalStateException("no sample of the peer's clock has been added");
        }
        long best = samples[0].peerNanosLowerBound(localNanos);
        for (int i = 1; i < samples.length; i++) {
            long candidate = samples[i].peerNanosLowerBound(localNanos);
            // Compares the difference because readings of a monotonic clock may wrap around.
            if (candidate - best > 0) {
                best = candidate;
            }
        }
        return best;
    }
}
