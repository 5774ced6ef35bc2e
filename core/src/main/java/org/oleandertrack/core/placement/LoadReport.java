package org.oleandertrack.core.placement;

/**
 * Load of a target as reported by its sidecar. Immutable.
 *
 * @param running number of calls that run at the target
 * @param queued number of calls that wait in the sidecar's queue
 * @param queuedWorkNanos expected service time of the waiting calls together, in nanoseconds
 */
public record LoadReport(int running, int queued, long queuedWorkNanos) {

    /** Report of an idle target. */
    public static final LoadReport IDLE = new LoadReport(0, 0, 0);

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is negative
     */
    public LoadReport {
        if (running < 0 || queued < 0 || queuedWorkNanos < 0) {
            throw new IllegalArgumentException(
                    "negative load: running " + running + ", queued " + queued);
        }
    }
}
