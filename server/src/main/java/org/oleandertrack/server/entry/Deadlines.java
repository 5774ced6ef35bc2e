package org.oleandertrack.server.entry;

import java.util.concurrent.TimeUnit;

/** Computes deadlines on the local monotonic clock. */
final class Deadlines {

    private Deadlines() {}

    /** Returns the reading of the clock after a time that starts now. */
    static long after(long nowNanos, long millis) {
        return nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
