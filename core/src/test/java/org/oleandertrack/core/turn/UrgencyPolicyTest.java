package org.oleandertrack.core.turn;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;

/** Guards against work on programs that are lost anyway, and against turns that never run. */
final class UrgencyPolicyTest {

    private static final long PREDICTED_MILLIS = 200;

    private final UrgencyPolicy mPolicy = new UrgencyPolicy();

    private static UrgencyPolicy.Turn turn(int priority, boolean underWay, long remainingMillis) {
        return new UrgencyPolicy.Turn(
                priority, underWay, OptionalLong.of(remainingMillis), PREDICTED_MILLIS);
    }

    private int rank(int priority, boolean underWay, long remainingMillis) {
        return new UrgencyPolicy().rank(turn(priority, underWay, remainingMillis));
    }

    @Test
    void programsUnderWayComeBeforeNewOnesOfTheirPriority() {
        assertTrue(rank(0, true, 5_000) < rank(0, false, 5_000));
        assertTrue(rank(0, true, 500) < rank(0, true, 5_000));
        assertTrue(rank(0, false, 5_000) < rank(1, true, 500));
    }

    @Test
    void programsThatCanNoLongerEndInTimeComeLast() {
        assertEquals(UrgencyPolicy.LAST_RANK, rank(0, true, 199));
        assertTrue(rank(7, false, 200) < UrgencyPolicy.LAST_RANK);
    }

    @Test
    void turnsOfAProgramWithoutAStatedEndAreNotLast() {
        int rank = mPolicy.rank(new UrgencyPolicy.Turn(1, true, OptionalLong.empty(), 200));
        assertTrue(rank > rank(0, false, 5_000));
        assertTrue(rank < rank(1, false, 5_000));
    }

    @Test
    void lessUrgentTurnsRunAlthoughMoreUrgentOnesAloneOverloadTheEngine() {
        PriorityQueue<int[]> queue =
                new PriorityQueue<>(
                        Comparator.<int[]>comparingInt(entry -> entry[0])
                                .thenComparingInt(entry -> entry[1]));
        int[] run = new int[3];
        for (int second = 0; second < 1_000; second++) {
            // Each second 12 turns of priority 0 and 2 of priority 2 arrive, one of the latter of a
            // program that can no longer end in time, and the engine runs 10.
            for (int i = 0; i < 12; i++) {
                queue.add(new int[] {mPolicy.rank(turn(0, true, 5_000)), second, 0});
            }
            queue.add(new int[] {mPolicy.rank(turn(2, true, 5_000)), second, 1});
            queue.add(new int[] {mPolicy.rank(turn(2, true, 0)), second, 2});
            for (int i = 0; i < 10; i++) {
                run[queue.remove()[2]]++;
            }
        }
        // 16 turns of priority 0 arrive within two seconds, so every second turn is ranked first.
        assertTrue(run[1] >= 499, "less urgent turns run: " + run[1]);
        assertTrue(run[2] >= 499, "late turns run: " + run[2]);
        assertTrue(run[0] > 8_000, "urgent turns run: " + run[0]);
    }

    @Test
    void aFloodOfLessUrgentTurnsTakesASixteenthOfTheMoreUrgentOnes() {
        int first = 0;
        for (int i = 0; i < 16_000; i++) {
            if (i % 16 == 0) {
                mPolicy.rank(turn(0, true, 5_000));
            }
            first += mPolicy.rank(turn(2, false, 5_000)) == UrgencyPolicy.FIRST_RANK ? 1 : 0;
        }
        assertTrue(first <= 1_000 / 16 + 1, first + " ranked first");
    }
}
