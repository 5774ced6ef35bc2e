package org.oleandertrack.core.traffic;

/**
 * Bounds of what a caller may send and how long it may take.
 *
 * @param maxHeaderBytes largest sum of headers
 * @param maxBodyBytes largest body
 * @param headerTimeoutMillis longest time to send the headers
 * @param idleTimeoutMillis longest time between two requests of a connection
 */
public record CallerLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** Limits in force until a configuration is known. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);
}
