package org.oleandertrack.bench;

/**
 * One model call. The schedulers use everything but {@code generatedTokens}, which only the engine
 * knows in advance.
 *
 * @param id unique id of the call
 * @param program program that the call belongs to
 * @param turn number of the turn, from 1
 * @param promptTokens length of the prompt in tokens, including the history of the program
 * @param generatedTokens length of the answer in tokens
 * @param attainedServiceNanos engine time that the earlier calls of the program have used
 * @param latestStartNanos time after which the call need not be started any more
 */
record Call(
        String id,
        Program program,
        int turn,
        int promptTokens,
        int generatedTokens,
        long attainedServiceNanos,
        long latestStartNanos) {}
