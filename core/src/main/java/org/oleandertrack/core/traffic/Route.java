package org.oleandertrack.core.traffic;

import java.util.List;
import java.util.OptionalInt;

/**
 * Destination and treatment of requests with a given host and path prefix. Immutable.
 *
 * @param name name for operators
 * @param host value of the {@code Host} header
 * @param prefix beginning of the path, with a slash at both ends
 * @param kind whether a request may be executed more than once
 * @param timeoutMillis longest time that a request is kept waiting, in milliseconds
 * @param latencyObjectiveMillis latency up to which a response has its full value to the caller, in
 *     milliseconds
 * @param priority priority of the requests; 0 is the most urgent
 * @param maxAttempts largest number of targets to which one request of a caller may be sent
 * @param resumable whether an interrupted stream may be resumed at another target
 * @param maxEventGapMillis longest pause between events of a stream that is on time, in
 *     milliseconds
 * @param keepsHistory whether turns carry only their new input, and the system keeps the
 *     conversation before it
 * @param retentionMillis time for which a program's token spending is remembered after its last
 *     turn, and for which a turn is kept on a route that keeps history, in milliseconds
 * @param anonymous whether requests need no access key although the configuration has organisations
 * @param shares services that serve the route; not empty
 */
public record Route(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        long timeoutMillis,
        long latencyObjectiveMillis,
        int priority,
        int maxAttempts,
        boolean resumable,
        long maxEventGapMillis,
        boolean keepsHistory,
        long retentionMillis,
        boolean anonymous,
        List<RouteShare> shares) {

    /** Returns whether a request of this route may be executed more than once. */
    public boolean isRepeatable() {
        return kind == RequestKind.SAFE || (kind == RequestKind.STREAMING && resumable);
    }

    /** Returns the route as it applies to an organisation, whose priority takes precedence. */
    public Route withPriority(OptionalInt organisationPriority) {
        if (organisationPriority.isEmpty() || organisationPriority.getAsInt() == priority) {
            return this;
        }
        return new Route(
                name,
                host,
                prefix,
                kind,
                timeoutMillis,
                latencyObjectiveMillis,
                organisationPriority.getAsInt(),
                maxAttempts,
                resumable,
                maxEventGapMillis,
                keepsHistory,
                retentionMillis,
                anonymous,
                shares);
    }

    /**
     * Chooses one of the services. A key is mapped to the same service as long as the shares do not
     * change.
     */
    public String serviceFor(String key) {
        if (shares.size() == 1) {
            return shares.getFirst().service();
        }
        long total = shares.stream().mapToLong(RouteShare::weight).sum();
        long point = Math.floorMod(mix(key.hashCode()), total);
        for (RouteShare share : shares) {
            point -= share.weight();
            if (point < 0) {
                return share.service();
            }
        }
        return shares.getLast().service();
    }

    // Mixes the bits of a string hash, because its low bits mostly depend on the last characters.
    private static long mix(int hash) {
        long mixed = hash * 0x9E3779B97F4A7C15L;
        return mixed ^ (mixed >>> 32);
    }
}
