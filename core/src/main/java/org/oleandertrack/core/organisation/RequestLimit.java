package org.oleandertrack.core.organisation;

/**
 * Limit on the requests of an organisation at all hosts together. Immutable.
 *
 * @param requestsPerSecond sustained rate; positive
 * @param burst number of requests that may exceed the rate at once; not negative
 */
public record RequestLimit(double requestsPerSecond, double burst) {

    /** Checks the values. */
    public RequestLimit {
        if (!(requestsPerSecond > 0) || Double.isInfinite(requestsPerSecond)) {
            throw new IllegalArgumentException("not a positive rate: " + requestsPerSecond);
        }
        if (!(burst >= 0) || Double.isInfinite(burst)) {
            throw new IllegalArgumentException("not a burst: " + burst);
        }
    }
}
