package org.oleandertrack.core.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against requests that are quarantined for crashes that another request caused. */
final class CrashExplanationTest {

    @Test
    void aRequestIsACulpritAfterThreeCrashes() {
        assertEquals(Set.of(), CrashExplanation.culprits(Map.of("a", Set.of("t1", "t2"))));
        assertEquals(Set.of("a"), CrashExplanation.culprits(Map.of("a", Set.of("t1", "t2", "t3"))));
    }

    @Test
    void aRequestThatRanBesideTheCulpritIsNone() {
        assertEquals(
                Set.of("deadly"),
                CrashExplanation.culprits(
                        Map.of(
                                "deadly",
                                Set.of("t1", "t2", "t3", "t4"),
                                "beside",
                                Set.of("t1", "t2", "t4"),
                                "often beside",
                                Set.of("t1", "t2", "t3", "t5"))));
    }

    @Test
    void twoRequestsThatCrashDifferentTargetsAreBothCulprits() {
        assertEquals(
                Set.of("a", "b"),
                CrashExplanation.culprits(
                        Map.of(
                                "a",
                                Set.of("t1", "t2", "t3", "t4"),
                                "b",
                                Set.of("t4", "t5", "t6", "t7"))));
    }

    @Test
    void amongManyRequestsOnlyTheDeadlyOneIsFound() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            Map<String, Set<String>> targets = new HashMap<>();
            for (int crash = 0; crash < 4; crash++) {
                targets.computeIfAbsent("deadly", key -> new HashSet<>()).add("t" + crash);
                for (int other = 0; other < 12; other++) {
                    targets.computeIfAbsent("r" + random.nextInt(60), key -> new HashSet<>())
                            .add("t" + crash);
                }
            }
            List<String> withAll =
                    targets.entrySet().stream()
                            .filter(entry -> entry.getValue().size() == 4)
                            .map(Map.Entry::getKey)
                            .toList();
            if (withAll.size() == 1) {
                assertEquals(Set.of("deadly"), CrashExplanation.culprits(targets), "seed " + seed);
            }
        }
    }
}
