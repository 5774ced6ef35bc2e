package org.oleandertrack.core.turn;

/**
 * A chosen target and the figures that decided.
 *
 * @param targetId the target
 * @param predictedCost predicted time to the end of the work there: milliseconds for a turn, a
 *     multiple of the work on an idle target for a call
 * @param requests estimated number of requests there
 * @param slowness estimated slowness of its host
 * @param missingTokens prompt tokens that would have to be read there; 0 for a plain service
 * @param ageMillis age of the last observation of the target, in milliseconds
 */
public record PlacementChoice(
        String targetId,
        double predictedCost,
        double requests,
        double slowness,
        int missingTokens,
        long ageMillis) {}
