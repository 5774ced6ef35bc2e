package org.oleandertrack.coordination.intent;

/** What a call that may not be repeated has to do. */
public sealed interface IntentOutcome {

    /**
     * The intent is durable; the call may be dispatched once.
     *
     * @param intent needed to record the outcome
     */
    record Started(Intent intent) implements IntentOutcome {}

    /**
     * This process is running an attempt with the same key and request.
     *
     * @param attemptId that attempt
     */
    record InProgress(String attemptId) implements IntentOutcome {}

    /**
     * The call was run before.
     *
     * @param answer its recorded answer
     */
    record Finished(IntentAnswer answer) implements IntentOutcome {}

    /** The key was used with another request. */
    record Mismatch() implements IntentOutcome {}

    /**
     * An earlier attempt may have run and its answer is not recorded. The key stays blocked unless
     * the attempt is proved not to have run.
     *
     * @param attemptId that attempt
     */
    record UnknownOutcome(String attemptId) implements IntentOutcome {}
}
