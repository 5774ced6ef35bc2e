package org.oleandertrack.standins.http;

import java.io.IOException;

/** Thrown by a handler for a request that the interface does not allow; answered with 400. */
public final class BadRequestException extends IOException {

    private static final long serialVersionUID = 1L;

    public BadRequestException(String message) {
        super(message);
    }
}
