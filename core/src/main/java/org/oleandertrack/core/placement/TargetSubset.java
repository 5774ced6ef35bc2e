package org.oleandertrack.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Selects the targets that an entry host connects to, by rendezvous hashing. Each host ranks all
 * targets by a hash of both ids, so a target that joins or leaves changes at most one target of a
 * host's subset. Stateless and thread-safe.
 */
public final class TargetSubset {

    // One in this many targets of a subset is in another zone, if other zones have targets, so that
    // a host still has targets when all those of its own zone are unreachable.
    private static final int OTHER_ZONES_DIVISOR = 4;

    private TargetSubset() {}

    /**
     * Returns the ids of the selected targets: three quarters from the host's own zone and the rest
     * from other zones. If either group has too few targets, the other group makes up the number.
     * All targets are selected if there are at most {@code size}.
     *
     * @param hostId id of the entry host
     * @param zone availability zone of the entry host
     * @param targets all targets of a model
     * @param size number of targets to select; not negative
     * @throws IllegalArgumentException if the size is negative
     */
    public static Set<String> choose(
            String hostId, String zone, Collection<TargetInfo> targets, int size) {
        if (size < 0) {
            throw new IllegalArgumentException("size is negative: " + size);
        }
        List<Ranked> inOwnZone = new ArrayList<>();
        List<Ranked> inOtherZones = new ArrayList<>();
        for (TargetInfo target : targets) {
            List<Ranked> group = target.zone().equals(zone) ? inOwnZone : inOtherZones;
            group.add(new Ranked(target.id(), RendezvousHash.score(hostId, target.id())));
        }
        Comparator<Ranked> order =
                Comparator.comparingLong(Ranked::hash).thenComparing(Ranked::targetId);
        inOwnZone.sort(order);
        inOtherZones.sort(order);
        int countFromOtherZones = Math.min(size / OTHER_ZONES_DIVISOR, inOtherZones.size());
        int countFromOwnZone = Math.min(size - countFromOtherZones, inOwnZone.size());
        countFromOtherZones = Math.min(size - countFromOwnZone, inOtherZones.size());
        Set<String> chosen = new LinkedHashSet<>();
        inOwnZone.subList(0, countFromOwnZone).forEach(ranked -> chosen.add(ranked.targetId()));
        inOtherZones
                .subList(0, countFromOtherZones)
                .forEach(ranked -> chosen.add(ranked.targetId()));
        return chosen;
    }

    private record Ranked(String targetId, long hash) {}
}
