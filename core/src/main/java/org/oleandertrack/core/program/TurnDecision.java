package org.oleandertrack.core.program;

import org.oleandertrack.core.result.ResultCode;

/** What to do with a turn that a caller sends. */
public sealed interface TurnDecision {

    /** The turn follows the committed head and may run. */
    record Run() implements TurnDecision {}

    /** The turn is the committed head, sent again; its answer is repeated. */
    record Replay() implements TurnDecision {}

    /**
     * The turn is refused and was not run.
     *
     * @param code why
     */
    record Refuse(ResultCode code) implements TurnDecision {}
}
