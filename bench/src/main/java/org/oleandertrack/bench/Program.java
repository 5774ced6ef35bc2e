package org.oleandertrack.bench;

import java.util.List;

/**
 * A program: a chain of model calls, each of which depends on the answer to the previous one.
 *
 * @param id unique id of the program
 * @param organisation organisation that the program belongs to
 * @param arrivalNanos time at which its first call arrives
 * @param isLong whether this is a long program, in a load that mixes short and long programs
 * @param turns the calls in order
 */
record Program(
        String id, String organisation, long arrivalNanos, boolean isLong, List<Turn> turns) {

    /** Returns the engine time of the program if each prompt token is computed once. */
    long serviceNanos() {
        return turns.stream()
                .mapToLong(
                        turn -> Engine.serviceNanos(turn.newPromptTokens(), turn.generatedTokens()))
                .sum();
    }

    /**
     * Returns the time from arrival to end of the program if none of its calls waits in a queue and
     * the engines run at full speed.
     */
    long unloadedNanos() {
        long pauseNanos = 0;
        for (Turn turn : turns.subList(0, turns.size() - 1)) {
            pauseNanos += turn.pauseNanos();
        }
        return serviceNanos() + pauseNanos;
    }
}
