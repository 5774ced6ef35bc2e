package org.oleandertrack.http;

/** Reason why an exchange with a server ended without a complete response. */
public enum OutboundFailure {
    /** The server refused the connection or is unreachable. Nothing was sent. */
    CONNECT_REFUSED(false),
    /** The connection was not established in time. Nothing was sent. */
    CONNECT_TIMEOUT(false),
    /** The connection was closed before the request was written. Nothing was sent. */
    NOT_SENT(false),
    /** The server closed the connection before the response was complete. */
    CLOSED(true),
    /** The connection was reset after the request was written. */
    RESET(true),
    /** The server sent bytes that are not a valid HTTP response. */
    MALFORMED(true);

    private final boolean mMayHaveRun;

    OutboundFailure(boolean mayHaveRun) {
        mMayHaveRun = mayHaveRun;
    }

    /** Returns whether no connection to the server could be opened. */
    public boolean isUnreachable() {
        return this == CONNECT_REFUSED || this == CONNECT_TIMEOUT;
    }

    /** Returns whether the server may have received and executed the request. */
    public boolean mayHaveRun() {
        return mMayHaveRun;
    }
}
