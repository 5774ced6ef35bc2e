package org.oleandertrack.http;

/** Handles requests of a server. Called on the connection's event loop; must not block. */
@FunctionalInterface
public interface InboundHandler {

    /** Handles a request. The response may be written later, on the same event loop. */
    void handle(InboundRequest request, ResponseWriter writer);
}
