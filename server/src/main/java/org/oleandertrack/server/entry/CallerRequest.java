package org.oleandertrack.server.entry;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.oleandertrack.protocol.message.CallKind;
import org.oleandertrack.protocol.message.Header;

/**
 * A validated request of a caller. Immutable.
 *
 * @param kind model call or plain service call
 * @param organisation the organisation that the call is charged to
 * @param programClass name of the program class
 * @param program id of the program; empty for a call outside any program
 * @param turn number of the turn from 1; 0 outside any program
 * @param budgetTokens token budget that the first turn requests for its program
 * @param timeoutMillis how long the caller waits for the response, in milliseconds
 * @param repeatable whether the call may be run more than once
 * @param idempotencyKey key that identifies the call; present if it may not be repeated
 * @param endProgram whether the program ends with this turn
 * @param method HTTP method for the target
 * @param path path and query for the target
 * @param headers headers for the target
 * @param body body for the target
 * @param streamed whether the caller asked for server-sent events
 * @param destination name of the model or service
 * @param maxGeneratedTokens maximum number of generated tokens; 0 for services
 */
record CallerRequest(
        CallKind kind,
        String organisation,
        String programClass,
        Optional<String> program,
        int turn,
        Optional<Long> budgetTokens,
        long timeoutMillis,
        boolean repeatable,
        Optional<String> idempotencyKey,
        boolean endProgram,
        String method,
        String path,
        List<Header> headers,
        ByteString body,
        boolean streamed,
        String destination,
        long maxGeneratedTokens) {

    /** Returns the id of the root program; empty for a call outside any program. */
    Optional<String> rootProgram() {
        return program.map(CallerRequest::rootOf);
    }

    /** Returns the id of a program's root: the part of its id before the first slash. */
    static String rootOf(String program) {
        int slash = program.indexOf('/');
        return slash < 0 ? program : program.substring(0, slash);
    }
}
