package org.oleandertrack.core.organisation.limit;

import java.util.Collection;
import java.util.List;
import org.oleandertrack.core.placement.RendezvousHash;

/** Selects the hosts that may issue permits for an organisation. */
public final class IssuerRanking {

    /**
     * Number of hosts that may issue permits for an organisation. With more, hosts that reach
     * different peers would issue the rate several times.
     */
    public static final int CANDIDATES = 2;

    private IssuerRanking() {}

    /** Returns the first hosts by rendezvous hashing, at most {@link #CANDIDATES}. */
    public static List<String> rank(String organisation, Collection<String> hosts) {
        String first = null;
        String second = null;
        long firstScore = Long.MIN_VALUE;
        long secondScore = Long.MIN_VALUE;
        for (String host : hosts) {
            long score = RendezvousHash.score(organisation, host);
            if (first == null || score > firstScore) {
                second = first;
                secondScore = firstScore;
                first = host;
                firstScore = score;
            } else if (second == null || score > secondScore) {
                second = host;
                secondScore = score;
            }
        }
        if (first == null) {
            return List.of();
        }
        return second == null ? List.of(first) : List.of(first, second);
    }
}
