package org.oleandertrack.gateway.call;

import java.util.Optional;
import org.oleandertrack.core.turn.LoadFigures;

/**
 * What the headers of a target's answer say.
 *
 * @param requestId id of the request that is answered
 * @param notExecuted whether the target states that it has not run the request and never will
 * @param load the target's present load
 */
public record AnswerFacts(
        Optional<String> requestId, boolean notExecuted, Optional<LoadFigures> load) {}
