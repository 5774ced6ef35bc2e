package org.oleandertrack.coordination.program;

/**
 * A turn that has run and is to be committed.
 *
 * @param program id of the program, which is the root program of the session or a sub-agent of it
 * @param turn number of the turn; must be that of the last committed turn plus 1
 * @param requestDigest digest of the request body
 * @param request content of the request to be stored
 * @param answer content of the answer to be stored, for replays
 * @param endsProgram whether the program ends with this turn
 */
public record TurnCommit(
        String program,
        long turn,
        String requestDigest,
        String request,
        String answer,
        boolean endsProgram) {}
