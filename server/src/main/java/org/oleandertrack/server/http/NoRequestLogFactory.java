package org.oleandertrack.server.http;

import io.dropwizard.request.logging.RequestLogFactory;
import org.eclipse.jetty.server.RequestLog;

/** Writes no line for each HTTP request: the decision log has a line for each call. */
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
