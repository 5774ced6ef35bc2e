package org.oleandertrack.coordination.intent;

/** Outcome of beginning a call that may run at most once. */
public sealed interface IntentOutcome {

    /**
     * The intent is durable; the call may be dispatched once.
     *
     * @param intent needed to record the outcome
     */
    record Started(Intent intent) implements IntentOutcome {}

    /**
     * This process is running an attempt with the same key.
     *
     * @param attemptId id of the running attempt
     */
    record InProgress(String attemptId) implements IntentOutcome {}

    /**
     * The call has run already.
     *
     * @param answer recorded answer of the call
     */
    record Finished(IntentAnswer answer) implements IntentOutcome {}

    /** The key was used with another request. */
    record Mismatch() implements IntentOutcome {}

    /**
     * An earlier attempt may have run, and its answer is not recorded. The key stays blocked unless
     * {@link IntentStore#abandonNotRun} is called for that attempt.
     *
     * @param attemptId id of the earlier attempt
     */
    record UnknownOutcome(String attemptId) implements IntentOutcome {}
}
