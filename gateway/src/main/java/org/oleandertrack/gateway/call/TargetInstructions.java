package org.oleandertrack.gateway.call;

import java.util.Optional;
import java.util.OptionalInt;
import org.oleandertrack.core.organisation.CallerIdentity;

/**
 * Values that the gateway adds to the headers of a request for a target.
 *
 * @param targetId id of the target that the request is meant for; a process with another id must
 *     refuse it
 * @param timeoutMillis time left, in milliseconds, after which the target stops work on the request
 * @param urgency rank in the engine's queue, with 0 served first; empty for the engine's default
 * @param resumeAfterEventId id of the event after which the target continues a stream; empty if it
 *     begins one, whatever the caller's request says
 * @param caller what is known about the caller, of whose organisation the target learns the name
 */
public record TargetInstructions(
        String targetId,
        long timeoutMillis,
        OptionalInt urgency,
        Optional<String> resumeAfterEventId,
        CallerIdentity caller) {}
