package org.oleandertrack.coordination.program;

/**
 * A turn that has run.
 *
 * @param program id of the program, the session's root or a sub-agent of it
 * @param turn number of the turn; the committed head plus 1
 * @param requestDigest digest of the request body
 * @param request what is to be kept of the request
 * @param answer what is to be kept of the answer, for replays
 * @param end whether the program ends after this turn
 */
public record TurnCommit(
        String program,
        long turn,
        String requestDigest,
        String request,
        String answer,
        boolean end) {}
