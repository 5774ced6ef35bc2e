package org.oleandertrack.bench;

import static org.oleandertrack.bench.VirtualClock.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Programs of several turns with pauses for tools and long-tailed answers.
 *
 * @param minTurns fewest turns
 * @param maxTurns most turns
 * @param firstTokens prompt tokens of the first turn
 * @param addedTokens median of the prompt tokens that each later turn adds
 * @param answerTokens median of the tokens of an answer
 */
record ProgramLoad(
        int minTurns, int maxTurns, int firstTokens, double addedTokens, double answerTokens) {

    private static final double SIGMA = 0.6;
    private static final long PAUSE_NANOS = SECOND / 2;

    /** The usual load: programs of some ten to twenty seconds. */
    static final ProgramLoad USUAL = new ProgramLoad(2, 10, 1_500, 200, 20);

    /** Draws programs that use the given share of a number of slots on average. */
    List<Program> draw(RandomGenerator random, double utilisation, int slots, long untilNanos) {
        double perSecond = utilisation * slots * SECOND / meanServiceNanos();
        return at(random, Loads.arrivals(random, perSecond, untilNanos));
    }

    /** Draws programs for the given arrivals. */
    List<Program> at(RandomGenerator random, List<Long> arrivals) {
        List<Program> programs = new ArrayList<>();
        for (long arrival : arrivals) {
            int count = minTurns + random.nextInt(maxTurns - minTurns + 1);
            List<Turn> turns = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                int tokens = i == 0 ? firstTokens : Loads.logNormal(random, addedTokens, SIGMA);
                int answer = Loads.logNormal(random, answerTokens, SIGMA);
                turns.add(new Turn(tokens, answer, Loads.exponential(random, PAUSE_NANOS)));
            }
            String id = "p" + programs.size();
            programs.add(new Program(id, "o" + programs.size() % 4, arrival, false, turns));
        }
        return programs;
    }

    /** Returns the mean service of a program in nanoseconds. */
    double meanServiceNanos() {
        double turns = (minTurns + maxTurns) / 2.0;
        double mean = Math.exp(SIGMA * SIGMA / 2);
        return firstTokens * Engine.PREFILL_NANOS
                + (turns - 1) * addedTokens * mean * Engine.PREFILL_NANOS
                + turns * answerTokens * mean * Engine.TOKEN_NANOS;
    }
}
