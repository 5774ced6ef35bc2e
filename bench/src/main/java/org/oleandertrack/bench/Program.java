package org.oleandertrack.bench;

import java.util.List;

/**
 * A program of a load.
 *
 * @param id id of the program
 * @param organisation its organisation
 * @param arrivalNanos time at which its first call arrives
 * @param isLong whether it is one of the long ones
 * @param turns its calls, in order
 */
record Program(
        String id, String organisation, long arrivalNanos, boolean isLong, List<Turn> turns) {

    /** Service that the program needs when nothing of it is computed twice. */
    long serviceNanos() {
        return turns.stream()
                .mapToLong(turn -> Engine.workNanos(turn.newTokens(), turn.generatedTokens()))
                .sum();
    }

    /** Time that the program takes when no call waits. */
    long unloadedNanos() {
        long pauses = 0;
        for (Turn turn : turns.subList(0, turns.size() - 1)) {
            pauses += turn.pauseNanos();
        }
        return serviceNanos() + pauses;
    }
}
