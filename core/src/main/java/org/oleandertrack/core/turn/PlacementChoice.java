package org.oleandertrack.core.turn;

/**
 * A chosen target and the estimates behind the choice.
 *
 * @param targetId id of the target
 * @param predictedCost predicted time to completion at the target: for a turn in milliseconds, for
 *     a call as a multiple of its duration on an idle target
 * @param firstEventMillis predicted time from the send of a turn to its first event, in
 *     milliseconds; 0 for a call
 * @param requests estimated number of requests at the target
 * @param slowness estimated slowness of the target's host, see {@link LoadEstimate}
 * @param factor learned lasting factor of the target's times relative to its service, see {@link
 *     LearnedTimes}
 * @param missingTokens prompt tokens that the target has to prefill because it has not cached them;
 *     0 if the target is not a model engine
 * @param missingTokensAssumed whether the missing tokens rest on the assumption that other hosts
 *     have sent earlier turns of the program to the target
 * @param slownessAgeMillis age of the last slowness observation of the target, in milliseconds
 */
public record PlacementChoice(
        String targetId,
        double predictedCost,
        double firstEventMillis,
        double requests,
        double slowness,
        double factor,
        int missingTokens,
        boolean missingTokensAssumed,
        long slownessAgeMillis) {}
