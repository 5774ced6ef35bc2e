package org.oleandertrack.coordination.sim;

import java.util.SplittableRandom;
import java.util.function.LongConsumer;

/** Runs fault schedules in parallel; a failure names the seed that reproduces it. */
public final class SeededRuns {

    private SeededRuns() {}

    /** Runs a schedule once for each of many seeds, which are drawn from the given seed. */
    public static void run(long seed, int count, LongConsumer schedule) {
        new SplittableRandom(seed)
                .longs(count)
                .parallel()
                .forEach(
                        drawn -> {
                            try {
                                schedule.accept(drawn);
                            } catch (RuntimeException | AssertionError e) {
                                throw new AssertionError("schedule with seed " + drawn, e);
                            }
                        });
    }
}
