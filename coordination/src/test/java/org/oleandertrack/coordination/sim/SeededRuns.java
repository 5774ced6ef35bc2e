package org.oleandertrack.coordination.sim;

import java.util.function.LongConsumer;
import java.util.stream.IntStream;

/** Runs fault schedules in parallel; a failure names the seed that reproduces it. */
public final class SeededRuns {

    private SeededRuns() {}

    public static void run(long firstSeed, int count, LongConsumer schedule) {
        IntStream.range(0, count)
                .parallel()
                .forEach(
                        i -> {
                            long seed = firstSeed + i;
                            try {
                                schedule.accept(seed);
                            } catch (RuntimeException | AssertionError e) {
                                throw new AssertionError("schedule with seed " + seed, e);
                            }
                        });
    }
}
