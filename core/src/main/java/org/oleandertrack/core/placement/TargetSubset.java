package org.oleandertrack.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Chooses the targets that an entry host connects to, by rendezvous hashing. Each host ranks all
 * targets by a hash of both ids, so a target that comes or goes changes the subset of a host by at
 * most one target. Stateless and thread-safe.
 */
public final class TargetSubset {

    // Part of a subset that lies outside the host's zone when there are targets there, so that a
    // host whose zone loses its targets still has some.
    private static final int OTHER_ZONES_DIVISOR = 4;

    private TargetSubset() {}

    /**
     * Returns the ids of the chosen targets: three quarters from the host's own zone and the rest
     * from other zones, each filled up from the other when one has too few. All targets are chosen
     * when there are no more than the size.
     *
     * @param hostId id of the entry host
     * @param zone zone of the entry host
     * @param targets all targets of a model
     * @param size number of targets wanted; not negative
     * @throws IllegalArgumentException if the size is negative
     */
    public static Set<String> choose(
            String hostId, String zone, Collection<TargetInfo> targets, int size) {
        if (size < 0) {
            throw new IllegalArgumentException("size is negative: " + size);
        }
        List<Ranked> own = new ArrayList<>();
        List<Ranked> other = new ArrayList<>();
        for (TargetInfo target : targets) {
            List<Ranked> list = target.zone().equals(zone) ? own : other;
            list.add(new Ranked(target.id(), RendezvousHash.rank(hostId, target.id())));
        }
        Comparator<Ranked> order =
                Comparator.comparingLong(Ranked::hash).thenComparing(Ranked::targetId);
        own.sort(order);
        other.sort(order);
        int fromOther = Math.min(size / OTHER_ZONES_DIVISOR, other.size());
        int fromOwn = Math.min(size - fromOther, own.size());
        fromOther = Math.min(size - fromOwn, other.size());
        Set<String> chosen = new LinkedHashSet<>();
        own.subList(0, fromOwn).forEach(ranked -> chosen.add(ranked.targetId()));
        other.subList(0, fromOther).forEach(ranked -> chosen.add(ranked.targetId()));
        return chosen;
    }

    private record Ranked(String targetId, long hash) {}
}
