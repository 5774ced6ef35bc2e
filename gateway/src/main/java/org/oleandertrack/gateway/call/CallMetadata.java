package org.oleandertrack.gateway.call;

import java.util.Optional;
import java.util.OptionalLong;
import org.oleandertrack.core.traffic.Route;

/**
 * Values of the headers of a caller's request.
 *
 * @param requestId id that the caller gave to the request; the empty string if it gave none
 * @param timeoutMillis longest time that the caller waits for the response, in milliseconds; empty
 *     if it states none
 * @param program the program to which the request belongs; empty if it belongs to none
 * @param turn the turn that a model engine is asked to run; empty for other requests
 * @param previousTurnId id of the turn that this one continues; empty if it begins a conversation
 * @param takeUp the stream that the caller takes up again; empty if the request begins a new one
 */
public record CallMetadata(
        String requestId,
        OptionalLong timeoutMillis,
        Optional<ProgramMetadata> program,
        Optional<TurnMetadata> turn,
        Optional<String> previousTurnId,
        Optional<StreamTakeUp> takeUp) {

    /** Returns the longest time that the caller and the route allow the call to last. */
    long limitMillis(Route route) {
        return Math.min(timeoutMillis.orElse(route.timeoutMillis()), route.timeoutMillis());
    }

    /** Returns the key that selects one of several services of a route. */
    String routingKey() {
        return program.map(ProgramMetadata::programId).orElse(requestId);
    }
}
