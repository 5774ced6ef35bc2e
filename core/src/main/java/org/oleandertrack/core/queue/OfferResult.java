package org.oleandertrack.core.queue;

import org.oleandertrack.core.result.ResultCode;

/** Outcome of {@link CallQueue#offer}. */
public sealed interface OfferResult {

    /** The call waits in the queue. */
    record Accepted() implements OfferResult {}

    /**
     * The call was not added and will not run.
     *
     * @param code reason for the rejection
     * @param retryAfterMillis time after which another attempt may succeed, in milliseconds
     */
    record Rejected(ResultCode code, long retryAfterMillis) implements OfferResult {}
}
