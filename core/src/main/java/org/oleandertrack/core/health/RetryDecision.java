package org.oleandertrack.core.health;

/** Whether a failed attempt is followed by another one. */
public sealed interface RetryDecision {

    /**
     * Another attempt is sent.
     *
     * @param delayNanos time to wait before it, in nanoseconds
     */
    record Retry(long delayNanos) implements RetryDecision {}

    /** The call ends with the result of the attempt. */
    record GiveUp() implements RetryDecision {}
}
