package org.oleandertrack.gateway.call;

import java.util.Optional;
import org.oleandertrack.core.turn.ReportedLoad;

/**
 * Values of the headers of a target's response.
 *
 * @param requestId id of the request to which the response belongs, if it is stated
 * @param notExecuted whether the target states that it has not run the request and never will
 * @param load the load that the target reports, if it reports one
 */
public record ResponseMetadata(
        Optional<String> requestId, boolean notExecuted, Optional<ReportedLoad> load) {}
