package org.oleandertrack.coordination.pacing;

/** Receives what the pacing of writes does. Called on any thread. */
public interface PacingListener {

    /** The store has begun to refuse writes for its rate. */
    void onShort(double writesPerSecond);

    /** The store has refused no write for a while, and none waits. */
    void onSufficient(long shortMillis);

    /** Writes were made together in one transaction. */
    void onJoined(int writes);

    /** A write was refused, because it would wait for longer than its caller can. */
    void onRefused(String importance, long waitMillis);
}
