package org.oleandertrack.bench;

/**
 * One model call. Scheduling decisions do not use {@code generatedTokens}, because the length of an
 * answer is not known before it has been generated.
 *
 * @param id unique id of the call
 * @param program program that the call belongs to
 * @param turn number of the turn, from 1
 * @param promptTokens length of the prompt in tokens, including the history of the program
 * @param generatedTokens length of the answer in tokens
 * @param attainedServiceNanos engine time that the earlier calls of the program have used
 * @param latestStartNanos time after which a queue may drop the call instead of starting it; {@code
 *     Long.MAX_VALUE} if there is no limit
 */
record Call(
        String id,
        Program program,
        int turn,
        int promptTokens,
        int generatedTokens,
        long attainedServiceNanos,
        long latestStartNanos) {}
