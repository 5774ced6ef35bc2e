package org.oleandertrack.core.traffic;

/**
 * Limits on the size and timing of callers' requests.
 *
 * @param maxHeaderBytes largest total size of the headers of a request, in bytes
 * @param maxBodyBytes largest size of a request body, in bytes
 * @param headerTimeoutMillis longest time for sending the headers, in milliseconds
 * @param idleTimeoutMillis longest time between two requests of a connection, in milliseconds
 */
public record CallerLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** Limits that apply until a configuration has been loaded. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);
}
