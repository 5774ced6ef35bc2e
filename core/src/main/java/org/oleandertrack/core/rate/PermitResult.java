package org.oleandertrack.core.rate;

/** Result of a {@link PermitRequest}. */
public sealed interface PermitResult {

    /**
     * The request may be sent.
     *
     * @param waitMillis time to wait before, in milliseconds; at most the one that was asked for
     */
    record Granted(long waitMillis) implements PermitResult {}

    /**
     * The request may not be sent.
     *
     * @param waitMillis time that it would have to wait, in milliseconds
     */
    record Denied(long waitMillis) implements PermitResult {}
}
