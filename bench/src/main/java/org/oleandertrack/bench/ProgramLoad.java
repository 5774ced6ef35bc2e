package org.oleandertrack.bench;

import static org.oleandertrack.bench.VirtualClock.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Parameters of a random load of programs. The number of turns is uniform, prompt and answer
 * lengths are log-normal, and the pauses between turns, in which a program runs tools, are
 * exponential.
 *
 * @param minTurns smallest number of turns of a program
 * @param maxTurns largest number of turns of a program
 * @param firstPromptTokens prompt tokens of the first turn
 * @param medianAddedPromptTokens median of the prompt tokens that each later turn adds
 * @param medianAnswerTokens median length of an answer in tokens
 */
record ProgramLoad(
        int minTurns,
        int maxTurns,
        int firstPromptTokens,
        double medianAddedPromptTokens,
        double medianAnswerTokens) {

    // Standard deviation of the logarithm of prompt and answer lengths.
    private static final double LENGTH_SIGMA = 0.6;
    private static final long MEAN_PAUSE_NANOS = SECOND / 2;

    /** Default load: a program takes about 10 to 20 s. */
    static final ProgramLoad DEFAULT = new ProgramLoad(2, 10, 1_500, 200, 20);

    /**
     * Draws programs with bursty arrivals that keep the given fraction of all slots busy on
     * average.
     *
     * @param utilisation fraction of the slots, such as 0.6
     * @param slots number of calls that all targets together can run at the same time
     * @param untilNanos end of the period in which programs arrive
     */
    List<Program> draw(RandomGenerator random, double utilisation, int slots, long untilNanos) {
        double programsPerSecond = utilisation * slots * SECOND / meanServiceNanos();
        return drawAt(
                random, LoadDistributions.drawArrivals(random, programsPerSecond, untilNanos));
    }

    /** Draws one program for each of the given arrival times in nanoseconds. */
    List<Program> drawAt(RandomGenerator random, List<Long> arrivals) {
        List<Program> programs = new ArrayList<>();
        for (long arrival : arrivals) {
            int count = minTurns + random.nextInt(maxTurns - minTurns + 1);
            List<Turn> turns = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                int newPromptTokens =
                        i == 0
                                ? firstPromptTokens
                                : LoadDistributions.drawLogNormal(
                                        random, medianAddedPromptTokens, LENGTH_SIGMA);
                int answerTokens =
                        LoadDistributions.drawLogNormal(random, medianAnswerTokens, LENGTH_SIGMA);
                turns.add(
                        new Turn(
                                newPromptTokens,
                                answerTokens,
                                LoadDistributions.drawExponential(random, MEAN_PAUSE_NANOS)));
            }
            String id = "p" + programs.size();
            programs.add(new Program(id, "o" + programs.size() % 4, arrival, false, turns));
        }
        return programs;
    }

    /**
     * Returns the mean engine time of a program in nanoseconds, if each prompt token is computed
     * once.
     */
    double meanServiceNanos() {
        double turns = (minTurns + maxTurns) / 2.0;
        double meanToMedianRatio = Math.exp(LENGTH_SIGMA * LENGTH_SIGMA / 2);
        return firstPromptTokens * Engine.PREFILL_NANOS_PER_TOKEN
                + (turns - 1)
                        * medianAddedPromptTokens
                        * meanToMedianRatio
                        * Engine.PREFILL_NANOS_PER_TOKEN
                + turns
                        * medianAnswerTokens
                        * meanToMedianRatio
                        * Engine.GENERATION_NANOS_PER_TOKEN;
    }
}
