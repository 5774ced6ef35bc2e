package org.oleandertrack.gateway.call;

import java.util.OptionalLong;

/**
 * The program, a chain of dependent model calls, to which a request belongs.
 *
 * @param programId id of the program
 * @param sessionId id of the session, which is a sequence of turns within the program; the empty
 *     string if none is stated
 * @param remainingMillis time left until the program should be finished, in milliseconds; empty if
 *     none is stated
 */
public record ProgramMetadata(String programId, String sessionId, OptionalLong remainingMillis) {}
