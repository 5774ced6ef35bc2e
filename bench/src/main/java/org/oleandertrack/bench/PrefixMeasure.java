package org.oleandertrack.bench;

import static org.oleandertrack.bench.VirtualClock.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.oleandertrack.bench.Figure.Requirement;

/**
 * Measures how well calls reuse the prompt prefixes that engines hold in memory: the number of
 * prompt tokens that the engines compute, divided by the smallest possible number, which is reached
 * if each prompt token of a program is computed once. Programs of 5 to 40 turns build up histories
 * of the order of ten thousand tokens, engine memory is limited and arrivals are bursty.
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
            double leastPromptTokens = 0;
            for (Program program : programs) {
                leastPromptTokens +=
                        program.turns().stream().mapToLong(Turn::newPromptTokens).sum();
            }
            Fleet baseline = Fleet.baseline(TARGETS, SLOTS, MEMORY_TOKENS);
            run(baseline, programs);
            Fleet product =
                    Fleet.withProductPolicies(
                            TARGETS, SLOTS, MEMORY_TOKENS, true, 2 * DURATION_NANOS, seed);
            run(product, programs);
            figures.add(
                    Figure.value(
                            "prompt tokens computed / least possible (load " + utilisation + ")",
                            baseline.computedPromptTokens() / leastPromptTokens,
                            product.computedPromptTokens() / leastPromptTokens,
                            Requirement.under(1.2)));
        }
        return figures;
    }

    private static void run(Fleet fleet, List<Program> programs) {
        new ProgramRunner(
                        fleet.mClock,
                        fleet.dispatcher(),
                        fleet.mAttainedService,
                        ProgramRunner.NO_DEADLINE)
                .run(programs, (program, succeeded) -> fleet.release(program));
    }
}
