package org.oleandertrack.bench;

/**
 * A call as the schedulers see it, plus the length that only the engine knows.
 *
 * @param id id of the call
 * @param program the program
 * @param turn number of the turn, from 1
 * @param promptTokens tokens of the whole prompt
 * @param generatedTokens tokens of the answer
 * @param attainedNanos service that the program attained before
 * @param latestStartNanos latest start of the call
 */
record Call(
        String id,
        Program program,
        int turn,
        int promptTokens,
        int generatedTokens,
        long attainedNanos,
        long latestStartNanos) {}
