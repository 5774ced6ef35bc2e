package org.oleandertrack.gateway.call;

import java.util.OptionalLong;

/**
 * The agent program to which a request belongs.
 *
 * @param programId the program
 * @param sessionId the line of turns within the program
 * @param remainingMillis time left until the program should be finished
 */
public record ProgramFacts(String programId, String sessionId, OptionalLong remainingMillis) {}
