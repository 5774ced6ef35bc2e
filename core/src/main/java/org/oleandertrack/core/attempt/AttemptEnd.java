package org.oleandertrack.core.attempt;

/** How an attempt, one send of a call's request to a target, has come to its end. */
public sealed interface AttemptEnd {

    /**
     * The target states that it has not run the request.
     *
     * @param targetEnded whether another incarnation answered in the target's place
     */
    record Refused(boolean targetEnded) implements AttemptEnd {}

    /**
     * The request was not sent, because there was no connection to the target.
     *
     * @param targetEnded whether no connection could be opened, as after the target's end
     */
    record NotReached(boolean targetEnded) implements AttemptEnd {}

    /** The response ended early, or was none; the target may have run the request. */
    record BrokenOff() implements AttemptEnd {}

    /**
     * The target was silent for longer than its load explains; the attempt has not ended yet.
     *
     * @param hung whether the target is considered to answer nothing any more
     */
    record Stalled(boolean hung) implements AttemptEnd {}

    /** The target answered with a response that is not a stream of events, whatever its status. */
    record Answered() implements AttemptEnd {}
}
