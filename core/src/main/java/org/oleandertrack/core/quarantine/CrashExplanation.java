package org.oleandertrack.core.quarantine;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Finds the requests that explain crashes of targets. When a target crashes, each request that it
 * had just begun to run is a suspect, but only one of them is the cause. A request is a culprit if
 * it was a suspect in enough crashes that no other culprit explains; the request with the most such
 * crashes is found first. Hosts with the same observations find the same culprits.
 */
public final class CrashExplanation {

    /** Number of crashes from which on a request is a culprit. */
    public static final int MIN_CRASHES = 3;

    private CrashExplanation() {}

    /**
     * Returns the keys of the requests that explain the crashes. Of keys that explain as many, the
     * first in their natural order is a culprit.
     *
     * @param targetsByKey the crashed targets of each suspect
     */
    public static Set<String> culprits(Map<String, ? extends Set<String>> targetsByKey) {
        Map<String, Set<String>> unexplained = new TreeMap<>();
        targetsByKey.forEach((key, targets) -> unexplained.put(key, new HashSet<>(targets)));
        Set<String> culprits = new LinkedHashSet<>();
        for (Optional<String> next = mostSuspect(unexplained);
                next.isPresent();
                next = mostSuspect(unexplained)) {
            culprits.add(next.get());
            Set<String> explained = unexplained.remove(next.get());
            unexplained.values().forEach(targets -> targets.removeAll(explained));
        }
        return culprits;
    }

    private static Optional<String> mostSuspect(Map<String, Set<String>> unexplained) {
        Optional<String> suspect = Optional.empty();
        int most = MIN_CRASHES - 1;
        for (Map.Entry<String, Set<String>> entry : unexplained.entrySet()) {
            if (entry.getValue().size() > most) {
                most = entry.getValue().size();
                suspect = Optional.of(entry.getKey());
            }
        }
        return suspect;
    }
}
