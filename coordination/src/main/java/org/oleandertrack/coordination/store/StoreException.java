package org.oleandertrack.coordination.store;

import org.oleandertrack.core.result.Execution;

/** Thrown when the store did not confirm a request. */
public final class StoreException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final Execution mExecution;
    private final boolean mOverRate;
    private final boolean mRejected;
    private final long mRetryAfterMillis;

    /**
     * Creates a failure.
     *
     * @param execution {@code NOT_RUN} if the request certainly has no effect, {@code UNKNOWN} if
     *     it may have taken effect or may still do so
     */
    public StoreException(Execution execution, String message, Throwable cause) {
        this(execution, message, cause, false, false, 0);
    }

    private StoreException(
            Execution execution,
            String message,
            Throwable cause,
            boolean overRate,
            boolean rejected,
            long retryAfterMillis) {
        super(message, cause);
        mExecution = execution;
        mOverRate = overRate;
        mRejected = rejected;
        mRetryAfterMillis = retryAfterMillis;
    }

    /**
     * Creates the failure of a request that was refused because the store takes no more requests at
     * this rate. The request has no effect.
     *
     * @param retryAfterMillis time after which the request would be taken, in milliseconds; 0 if it
     *     is not known
     */
    public static StoreException overRate(String message, long retryAfterMillis) {
        return new StoreException(Execution.NOT_RUN, message, null, true, false, retryAfterMillis);
    }

    /**
     * Creates the failure of a request that the store does not accept, for example because it is
     * too large. It has no effect, and would be rejected again.
     */
    public static StoreException rejected(String message) {
        return new StoreException(Execution.NOT_RUN, message, null, false, true, 0);
    }

    public Execution execution() {
        return mExecution;
    }

    /** Returns whether the store is available but takes no more requests at this rate. */
    public boolean isOverRate() {
        return mOverRate;
    }

    /** Returns whether the request would be rejected again if it were repeated. */
    public boolean isRejected() {
        return mRejected;
    }

    /**
     * Returns the time after which a request over the rate would be taken, in milliseconds; 0 if it
     * is not known.
     */
    public long retryAfterMillis() {
        return mRetryAfterMillis;
    }
}
