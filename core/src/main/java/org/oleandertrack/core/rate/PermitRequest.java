package org.oleandertrack.core.rate;

/**
 * Request to send one request to a target that limits its rate.
 *
 * @param targetId id of the target
 * @param requestsPerSecond the rate that the target last stated to the host that asks
 * @param statedAgeMillis time since that statement, in milliseconds
 * @param maxWaitMillis longest acceptable wait before the request may be sent, in milliseconds
 */
public record PermitRequest(
        String targetId, double requestsPerSecond, long statedAgeMillis, long maxWaitMillis) {

    /** Returns the same request for a fraction of the target's rate. */
    public PermitRequest withRequestsPerSecond(double value) {
        return new PermitRequest(targetId, value, statedAgeMillis, maxWaitMillis);
    }
}
