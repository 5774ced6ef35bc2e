package org.oleandertrack.gateway.call;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * What the gateway adds to a request for a target.
 *
 * @param targetId the incarnation that may run the request
 * @param deadlineMillis time after which the target stops working on it
 * @param urgency rank in the engine's queue; 0 comes first
 * @param resumeAfterEventId last event of an earlier answer that the caller has received
 */
public record TargetInstructions(
        String targetId,
        long deadlineMillis,
        OptionalInt urgency,
        Optional<String> resumeAfterEventId) {}
