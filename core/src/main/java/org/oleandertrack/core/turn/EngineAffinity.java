package org.oleandertrack.core.turn;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.oleandertrack.core.placement.RendezvousHash;

/**
 * Maps prompts and programs to engines by rendezvous hashing, so that all hosts choose the same
 * engines without exchanging messages. This is needed because the turns of a program arrive at
 * several hosts, and a restarted host does not know where earlier turns ran.
 */
final class EngineAffinity {

    // The first part of a prompt is assumed to be cached by one in this many engines. Smaller
    // groups use less engine memory; larger ones leave more engines to choose from.
    private static final int GROUP_SIZE_DIVISOR = 4;
    private static final int MIN_GROUP_SIZE = 3;

    private EngineAffinity() {}

    /**
     * Returns the ids of the engines that are assumed to cache the given first part of a prompt.
     */
    static Set<String> firstPartEngineIds(String firstPartId, Collection<TargetState> engines) {
        int size =
                Math.max(
                        MIN_GROUP_SIZE,
                        (engines.size() + GROUP_SIZE_DIVISOR - 1) / GROUP_SIZE_DIVISOR);
        return ranked(firstPartId, engines).stream()
                .limit(size)
                .map(TargetState::id)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the id of the program's home engine in a group; empty if the group is empty. */
    static String homeEngineId(String programId, Set<String> engineIds) {
        String homeId = "";
        long highestRank = Long.MIN_VALUE;
        for (String engineId : engineIds) {
            long rank = RendezvousHash.score(programId, engineId);
            if (homeId.isEmpty() || rank > highestRank) {
                homeId = engineId;
                highestRank = rank;
            }
        }
        return homeId;
    }

    private static List<TargetState> ranked(String key, Collection<TargetState> engines) {
        List<TargetState> ranked = new ArrayList<>(engines);
        ranked.sort(Comparator.comparingLong(engine -> RendezvousHash.score(key, engine.id())));
        return ranked;
    }
}
