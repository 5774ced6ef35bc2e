package org.oleandertrack.core.turn;

import java.util.OptionalDouble;

/**
 * What one turn at an engine showed of the engine's times.
 *
 * @param load load that the engine reported with the response
 * @param requestsAtSend estimated number of requests at the engine when the turn was sent
 * @param missingTokens estimated number of prompt tokens that the engine had to prefill
 * @param missingTokensAssumed whether that number rests on an assumption about other hosts' turns
 * @param firstEventMillis time from the send to the first event, in milliseconds; empty if it does
 *     not tell the time of the prefill
 * @param gapMillis usual pause between two events, in milliseconds; empty if there were too few
 * @param complete whether the response was complete
 */
public record TurnObservation(
        ReportedLoad load,
        double requestsAtSend,
        int missingTokens,
        boolean missingTokensAssumed,
        OptionalDouble firstEventMillis,
        OptionalDouble gapMillis,
        boolean complete) {}
