package org.oleandertrack.core.attempt;

/** What follows when an attempt has come to its end. */
public sealed interface NextStep {

    /** The target's response is given to the caller. */
    record ForwardResponse() implements NextStep {}

    /** The request is sent to a target that this attempt was not sent to. */
    record SendToOtherTarget() implements NextStep {}

    /** The request is sent to the target of this attempt again. */
    record SendToSameTarget() implements NextStep {}

    /** The attempt goes on. */
    record KeepWaiting() implements NextStep {}

    /** The call ends: with a failure, or by breaking off the response if it has started. */
    record GiveUp() implements NextStep {}
}
