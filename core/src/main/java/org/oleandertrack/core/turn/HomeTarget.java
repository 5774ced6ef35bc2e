package org.oleandertrack.core.turn;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.oleandertrack.core.placement.RendezvousHash;

/**
 * Agrees on engines without messages: all hosts rank the engines by a hash of a key and the engine.
 * The turns of a program arrive at several hosts, and a host that restarts knows nothing of where
 * earlier turns ran.
 */
final class HomeTarget {

    // Engines that share a first part: fewer save memory, more leave a choice between them.
    private static final int GROUPS = 4;
    private static final int MIN_GROUP_SIZE = 3;

    private HomeTarget() {}

    /** Returns the ids of the engines that keep the first part of prompts that begin with it. */
    static Set<String> groupOf(String firstPartId, Collection<TargetState> engines) {
        int size = Math.max(MIN_GROUP_SIZE, (engines.size() + GROUPS - 1) / GROUPS);
        return ranked(firstPartId, engines).stream()
                .limit(size)
                .map(TargetState::id)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the id of the engine of a group that runs a program's turns. */
    static String of(String programId, Set<String> group) {
        String home = "";
        long highest = Long.MIN_VALUE;
        for (String engine : group) {
            long rank = RendezvousHash.rank(programId, engine);
            if (home.isEmpty() || rank > highest) {
                home = engine;
                highest = rank;
            }
        }
        return home;
    }

    private static List<TargetState> ranked(String key, Collection<TargetState> engines) {
        List<TargetState> ranked = new ArrayList<>(engines);
        ranked.sort(Comparator.comparingLong(engine -> RendezvousHash.rank(key, engine.id())));
        return ranked;
    }
}
