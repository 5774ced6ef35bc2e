package org.oleandertrack.core.result;

import java.util.Optional;

/** A refusal or failure with its result code. Immutable apart from what Throwable adds. */
public final class ResultException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final ResultCode mCode;
    private final Execution mExecution;
    private final long mRetryAfterMillis;

    /** Creates a failure with the usual execution of its code and no retry time. */
    public ResultException(ResultCode code, String message) {
        this(code, code.usualExecution(), message, 0);
    }

    /**
     * Creates a failure.
     *
     * @param execution whether the request was executed; never {@code NOT_RUN} unless proved
     * @param message what failed and where, for people
     * @param retryAfterMillis time after which a retry may succeed, 0 for none
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

    /** Returns the time after which a retry may succeed; empty if no retry can. */
    public Optional<Long> retryAfterMillis() {
        boolean mayRetry = mCode.retryAdvice() != RetryAdvice.NEVER;
        return mayRetry && mRetryAfterMillis > 0
                ? Optional.of(mRetryAfterMillis)
                : Optional.empty();
    }

    /** Returns the same failure with another execution, for example after proof that it ran. */
    public ResultException withExecution(Execution execution) {
        return new ResultException(mCode, execution, getMessage(), mRetryAfterMillis);
    }

    /** Returns the same failure with a retry time in milliseconds. */
    public ResultException withRetryAfterMillis(long retryAfterMillis) {
        return new ResultException(mCode, mExecution, getMessage(), retryAfterMillis);
    }
}
