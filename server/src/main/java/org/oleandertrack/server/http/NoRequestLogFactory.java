package org.oleandertrack.server.http;

import io.dropwizard.request.logging.RequestLogFactory;
import org.eclipse.jetty.server.RequestLog;

/** Turns off the HTTP request log, because the decision log already has a line for each call. */
final class NoRequestLogFactory implements RequestLogFactory<RequestLog> {

    @Override
    public boolean isEnabled() {
        return false;
    }

    @Override
    public RequestLog build(String name) {
        return (request, response) -> {};
    }
}
