package org.oleandertrack.core.health;

/** Decision on whether a failed attempt is retried. */
public sealed interface RetryDecision {

    /**
     * Another attempt is sent.
     *
     * @param delayNanos time to wait before it, in nanoseconds
     */
    record Retry(long delayNanos) implements RetryDecision {}

    /** No further attempt is made; the call ends with the result of the failed attempt. */
    record GiveUp() implements RetryDecision {}
}
