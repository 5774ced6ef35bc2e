package org.oleandertrack.http;

/** Thrown when a call ends without a complete response. */
public final class HttpCallException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final boolean mMayHaveRun;

    /**
     * Creates an exception.
     *
     * @param mayHaveRun whether the server may have received the request
     */
    public HttpCallException(String message, boolean mayHaveRun) {
        super(message);
        mMayHaveRun = mayHaveRun;
    }

    public boolean mayHaveRun() {
        return mMayHaveRun;
    }
}
