package org.oleandertrack.core.program;

import org.oleandertrack.core.result.ResultCode;

/** Decision on a turn that a caller sent. The head is the program's last committed turn. */
public sealed interface TurnDecision {

    /** The turn directly follows the head and may run. */
    record Run() implements TurnDecision {}

    /** The turn is a repetition of the head; the stored answer is returned. */
    record Replay() implements TurnDecision {}

    /**
     * The turn is refused and was not run.
     *
     * @param code reason for the refusal
     */
    record Refuse(ResultCode code) implements TurnDecision {}
}
