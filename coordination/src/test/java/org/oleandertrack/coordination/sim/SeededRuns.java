package org.oleandertrack.coordination.sim;

import java.util.SplittableRandom;
import java.util.function.LongConsumer;

/** Runs fault schedules in parallel; a failure names the seed that reproduces it. */
public final class SeededRuns {

    private SeededRuns() {}

    /** Runs schedules with seeds drawn from one seed, so that runs do not share seeds. */
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
