package org.oleandertrack.http;

/** Why an exchange with a server ended without a whole response. */
public enum OutboundFailure {
    /** The server refused the connection or could not be routed to. Nothing was sent. */
    CONNECT_REFUSED(false),
    /** The connection was not established in time. Nothing was sent. */
    CONNECT_TIMEOUT(false),
    /** The connection was closed before the request was written. Nothing was sent. */
    NOT_SENT(false),
    /** The server closed the connection before the response was whole. */
    CLOSED(true),
    /** The connection was reset after the request was written. */
    RESET(true),
    /** The server sent bytes that are no HTTP response. */
    MALFORMED(true);

    private final boolean mMayHaveRun;

    OutboundFailure(boolean mayHaveRun) {
        mMayHaveRun = mayHaveRun;
    }

    /** Returns whether the server may have received the request. */
    public boolean mayHaveRun() {
        return mMayHaveRun;
    }
}
