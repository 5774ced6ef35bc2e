package org.oleandertrack.gateway.call;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the headers of a request say.
 *
 * @param requestId id of this attempt of the caller; empty if there is none
 * @param deadlineMillis time that the caller will wait
 * @param program the program to which the request belongs
 * @param turn present if the request asks a model engine for a turn
 */
public record CallFacts(
        String requestId,
        OptionalLong deadlineMillis,
        Optional<ProgramFacts> program,
        Optional<TurnFacts> turn) {}
