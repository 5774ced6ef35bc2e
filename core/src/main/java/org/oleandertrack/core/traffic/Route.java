package org.oleandertrack.core.traffic;

import java.util.List;

/**
 * Where requests of one host and path prefix go, and how they are treated. Immutable.
 *
 * @param name name for operators
 * @param host value of the {@code Host} header
 * @param prefix beginning of the path, with a slash at both ends
 * @param kind what may be repeated
 * @param timeoutMillis longest time that a request is kept waiting
 * @param latencyObjectiveMillis time within which an answer earns its full worth
 * @param priority rank of the requests; 0 is the most urgent
 * @param attempts largest number of targets that may run one attempt of a caller
 * @param resumable whether a stream may go on at another target
 * @param maxEventGapMillis longest pause between events of an answer that is on time
 * @param retentionMillis time for which a program's spending is remembered after its last turn
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
        int attempts,
        boolean resumable,
        long maxEventGapMillis,
        long retentionMillis,
        List<RouteShare> shares) {

    /** Returns whether a request of this route may run more than once. */
    public boolean isRepeatable() {
        return kind == RequestKind.SAFE || (kind == RequestKind.STREAMING && resumable);
    }

    /**
     * Chooses one of the services. The same key always gives the same service while the shares stay
     * as they are.
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

    // Spreads the bits of a string hash, whose low bits follow the last characters.
    private static long mix(int hash) {
        long mixed = hash * 0x9E3779B97F4A7C15L;
        return mixed ^ (mixed >>> 32);
    }
}
