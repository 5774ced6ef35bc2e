package org.oleandertrack.core.placement;

/**
 * Load of a target as its sidecar reported it. Immutable.
 *
 * @param running calls that run at the target
 * @param queued calls that wait in the sidecar's queue
 * @param queuedWorkNanos service that the waiting calls are expected to need, in nanoseconds
 */
public record LoadReport(int running, int queued, long queuedWorkNanos) {

    /** The report of a target that does nothing. */
    public static final LoadReport IDLE = new LoadReport(0, 0, 0);

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is negative
     */
    public LoadReport {
        if (running < 0 || queued < 0 || queuedWorkNanos < 0) {
            throw new IllegalArgumentException("negative load: " + running + ", " + queued);
        }
    }
}
