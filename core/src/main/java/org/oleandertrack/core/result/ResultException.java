package org.oleandertrack.core.result;

import java.util.Optional;

/**
 * A refusal or failure with its result code. Immutable apart from the state of {@link Throwable}.
 */
public final class ResultException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final ResultCode mCode;
    private final Execution mExecution;
    private final long mRetryAfterMillis;

    /** Creates a failure with the default execution of its code and without a retry time. */
    public ResultException(ResultCode code, String message) {
        this(code, code.defaultExecution(), message, 0);
    }

    /**
     * Creates a failure.
     *
     * @param execution whether the request was executed; {@code NOT_RUN} only if it is certain that
     *     the target did not execute it
     * @param message what failed and where, for human readers
     * @param retryAfterMillis time after which a retry may succeed, in milliseconds; 0 if unknown
     */
    public ResultException(
            ResultCode code, Execution execution, String message, long retryAfterMillis) {
        super(message);
        mCode = code;
        mExecution = execution;
        mRetryAfterMillis = retryAfterMillis;
    }

    public ResultCode code() {
        return mCode;
    }

    public Execution execution() {
        return mExecution;
    }

    /**
     * Returns the time after which a retry may succeed, in milliseconds; empty if it is unknown or
     * a retry cannot succeed.
     */
    public Optional<Long> retryAfterMillis() {
        boolean mayRetry = mCode.retryAdvice() != RetryAdvice.NEVER;
        return mayRetry && mRetryAfterMillis > 0
                ? Optional.of(mRetryAfterMillis)
                : Optional.empty();
    }

    /**
     * Returns the same failure with another execution, for example once it is certain that the
     * request was executed.
     */
    public ResultException withExecution(Execution execution) {
        return new ResultException(mCode, execution, getMessage(), mRetryAfterMillis);
    }

    /** Returns the same failure with a retry time in milliseconds. */
    public ResultException withRetryAfterMillis(long retryAfterMillis) {
        return new ResultException(mCode, mExecution, getMessage(), retryAfterMillis);
    }
}
