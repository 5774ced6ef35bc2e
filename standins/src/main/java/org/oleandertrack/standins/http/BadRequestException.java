package org.oleandertrack.standins.http;

import java.io.IOException;

/** Thrown by a handler for an invalid request; the server responds with status 400. */
public final class BadRequestException extends IOException {

    private static final long serialVersionUID = 1L;

    public BadRequestException(String message) {
        super(message);
    }
}
