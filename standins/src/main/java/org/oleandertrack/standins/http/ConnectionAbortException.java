package org.oleandertrack.standins.http;

import java.io.IOException;

/** Thrown by a handler to close the connection without completing the response. */
public final class ConnectionAbortException extends IOException {

    private static final long serialVersionUID = 1L;

    public ConnectionAbortException(String message) {
        super(message);
    }
}
