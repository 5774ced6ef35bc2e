package org.oleandertrack.standins.http;

import java.io.IOException;

/** Handles the requests of one stand-in; called on many threads at once. */
@FunctionalInterface
public interface RequestHandler {

    /**
     * Answers a request.
     *
     * @throws BadRequestException to answer with 400
     * @throws IOException to close the connection without completing the answer
     */
    void handle(Request request) throws IOException;
}
