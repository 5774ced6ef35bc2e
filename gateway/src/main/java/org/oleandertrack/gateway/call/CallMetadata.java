package org.oleandertrack.gateway.call;

import java.util.Optional;
import java.util.OptionalLong;
import org.oleandertrack.core.organisation.IdScope;
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
 * @param scope scope of all these ids wherever state is kept under them
 */
public record CallMetadata(
        String requestId,
        OptionalLong timeoutMillis,
        Optional<ProgramMetadata> program,
        Optional<TurnMetadata> turn,
        Optional<String> previousTurnId,
        Optional<StreamTakeUp> takeUp,
        IdScope scope) {

    /** Creates the values as decoded, before the caller is known. */
    public CallMetadata(
            String requestId,
            OptionalLong timeoutMillis,
            Optional<ProgramMetadata> program,
            Optional<TurnMetadata> turn,
            Optional<String> previousTurnId,
            Optional<StreamTakeUp> takeUp) {
        this(requestId, timeoutMillis, program, turn, previousTurnId, takeUp, IdScope.NONE);
    }

    /** Returns the same values with another scope. */
    CallMetadata withScope(IdScope other) {
        return new CallMetadata(
                requestId, timeoutMillis, program, turn, previousTurnId, takeUp, other);
    }

    /** Returns the longest time that the caller and the route allow the call to last. */
    long limitMillis(Route route) {
        return Math.min(timeoutMillis.orElse(route.timeoutMillis()), route.timeoutMillis());
    }

    /** Returns the key that selects one of several services of a route. */
    String routingKey() {
        return scope.memoryId(program.map(ProgramMetadata::programId).orElse(requestId));
    }

    /** Returns the id under which the turn or the stream that the request begins is kept. */
    String storedRequestId() {
        return scope.storedId(requestId);
    }

    /** Returns the id under which the turn that this one continues was kept. */
    Optional<String> storedPreviousTurnId() {
        return previousTurnId.map(scope::storedId);
    }

    /** Returns the id under which the origin of the stream that is taken up was kept. */
    Optional<String> storedFirstRequestId() {
        return takeUp.flatMap(StreamTakeUp::firstRequestId).map(scope::storedId);
    }

    /** Returns the id under which the program's budget is kept. */
    Optional<String> storedProgramId() {
        return program.map(ProgramMetadata::programId).map(scope::storedId);
    }
}
