package org.oleandertrack.core.turn;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.placement.HealthView;

/** Guards against calls that accumulate at one target while others are idle. */
final class CallPlacementTest {

    private static final long NOW = 1_000_000_000L;

    private final ServiceLoad mService = new ServiceLoad();
    private final LearnedTimes mTimes = new LearnedTimes(EngineTimes.DEFAULT);
    private final List<TargetState> mTargets =
            List.of(
                    new TargetState("a", "z", 6, 0, mService, mTimes.add(), HealthView.ALL_HEALTHY),
                    new TargetState("b", "z", 6, 0, mService, mTimes.add(), HealthView.ALL_HEALTHY),
                    new TargetState(
                            "c", "z", 6, 0, mService, mTimes.add(), HealthView.ALL_HEALTHY));
    private final CallPlacement mPlacement = new CallPlacement("z", new Random(7));

    private Map<String, Integer> place(int calls) {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < calls; i++) {
            String id = mPlacement.choose(mTargets, Set.of(), NOW).orElseThrow().targetId();
            mTargets.stream()
                    .filter(target -> target.id().equals(id))
                    .forEach(target -> target.load().recordSent());
            counts.merge(id, 1, Integer::sum);
        }
        return counts;
    }

    @Test
    void callsSpreadOverEqualTargets() {
        Map<String, Integer> counts = place(18);
        assertTrue(counts.values().stream().allMatch(count -> count == 6), counts.toString());
    }

    @Test
    void aSlowTargetGetsNothingWhileOthersHaveRoom() {
        mTargets.getFirst().load().recordSlowness(2.5, NOW);
        assertEquals(Set.of("b", "c"), place(8).keySet());
    }

    @Test
    void excludedTargetsAreNeverChosen() {
        assertTrue(mPlacement.choose(mTargets, Set.of("a", "b", "c"), NOW).isEmpty());
    }
}
