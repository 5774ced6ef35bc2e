package org.oleandertrack.bench;

import static org.oleandertrack.bench.VirtualClock.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.oleandertrack.bench.Figure.Bar;

/**
 * Prompt tokens computed, relative to the least possible: each token of a program's history once.
 * Programs of 5 to 40 turns build up histories of some ten thousand tokens; engine memory is
 * limited, and arrivals are bursty.
 */
final class PrefixMeasure implements Measure {

    private static final ProgramLoad LOAD = new ProgramLoad(5, 40, 2_000, 500, 20);
    private static final int TARGETS = 12;
    private static final int SLOTS = 8;
    private static final double[] UTILISATIONS = {0.6, 0.8};
    private static final long MEMORY_TOKENS = 400_000;
    private static final long DURATION_NANOS = 1_200 * SECOND;

    @Override
    public String name() {
        return "prefixes";
    }

    @Override
    public List<Figure> run(long seed) {
        List<Figure> figures = new ArrayList<>();
        for (double utilisation : UTILISATIONS) {
            List<Program> programs =
                    LOAD.draw(
                            new SplittableRandom(seed),
                            utilisation,
                            TARGETS * SLOTS,
                            DURATION_NANOS);
            double least = 0;
            for (Program program : programs) {
                least += program.turns().stream().mapToLong(Turn::newTokens).sum();
            }
            Fleet plain = Fleet.baseline(TARGETS, SLOTS, MEMORY_TOKENS);
            run(plain, programs);
            Fleet ours = Fleet.ours(TARGETS, SLOTS, MEMORY_TOKENS, true, 2 * DURATION_NANOS, seed);
            run(ours, programs);
            figures.add(
                    Figure.value(
                            "prompt tokens computed / least possible (load " + utilisation + ")",
                            plain.computedPromptTokens() / least,
                            ours.computedPromptTokens() / least,
                            Bar.under(1.2)));
        }
        return figures;
    }

    private static void run(Fleet fleet, List<Program> programs) {
        new ProgramRunner(
                        fleet.mClock,
                        fleet.dispatcher(),
                        fleet.mAttained,
                        ProgramRunner.NO_DEADLINE)
                .run(programs, (program, inTime) -> fleet.release(program));
    }
}
