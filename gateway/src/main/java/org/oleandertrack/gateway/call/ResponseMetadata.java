package org.oleandertrack.gateway.call;

import java.util.Optional;
import java.util.OptionalDouble;
import org.oleandertrack.core.turn.ReportedLoad;

/**
 * Values of the headers of a target's response.
 *
 * @param requestId id of the request to which the response belongs, if it is stated
 * @param notExecuted whether the target states that it has not run the request and never will
 * @param load the load that the target reports, if it reports one
 * @param requestsPerSecond the rate to which the target limits the requests of all hosts together;
 *     empty if it states no limit
 * @param leaving whether the target states that it is about to leave
 */
public record ResponseMetadata(
        Optional<String> requestId,
        boolean notExecuted,
        Optional<ReportedLoad> load,
        OptionalDouble requestsPerSecond,
        boolean leaving) {}
