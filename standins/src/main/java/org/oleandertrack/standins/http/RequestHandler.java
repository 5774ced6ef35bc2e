package org.oleandertrack.standins.http;

import java.io.IOException;

/** Handles the requests of a stand-in. Called from several threads at once. */
@FunctionalInterface
public interface RequestHandler {

    /**
     * Handles a request and sends its response.
     *
     * @throws BadRequestException to respond with status 400
     * @throws IOException to close the connection without completing the response
     */
    void handle(Request request) throws IOException;
}
