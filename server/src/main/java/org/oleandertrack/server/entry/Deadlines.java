package org.oleandertrack.server.entry;

import java.util.concurrent.TimeUnit;

/** Computes deadlines on the local monotonic clock. */
final class Deadlines {

    private Deadlines() {}

    /** Returns the time that is the given number of milliseconds after now. */
    static long after(long nowNanos, long millis) {
        return nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
