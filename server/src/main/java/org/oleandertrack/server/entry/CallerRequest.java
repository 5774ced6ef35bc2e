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
 * @param organisation the organisation that pays
 * @param programClass name of the program class
 * @param program id of the program; empty for a call outside any program
 * @param turn number of the turn from 1; 0 outside any program
 * @param budgetTokens budget asked for at the first turn, in tokens
 * @param timeoutMillis time that the caller still waits, in milliseconds
 * @param repeatable whether the call may run more than once
 * @param idempotencyKey key of a call that may not be repeated
 * @param endProgram whether the program ends with this turn
 * @param method HTTP method for the target
 * @param path path and query for the target
 * @param headers headers for the target
 * @param body body for the target
 * @param streamed whether the caller asked for server-sent events
 * @param destination model or service name
 * @param maxGeneratedTokens upper bound of the generated tokens; 0 for services
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

    /** Returns the part of the program id that names the root program. */
    Optional<String> rootProgram() {
        return program.map(CallerRequest::rootOf);
    }

    /** Returns the root of a program id: the part before the first slash. */
    static String rootOf(String program) {
        int slash = program.indexOf('/');
        return slash < 0 ? program : program.substring(0, slash);
    }
}
