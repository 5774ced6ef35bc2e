package org.oleandertrack.http;

/**
 * Handles the requests that a server receives. Called on the connection's event loop; must not
 * block.
 */
@FunctionalInterface
public interface InboundHandler {

    /**
     * Handles a request. The response may be written after this method returns, on the same loop.
     */
    void handle(InboundRequest request, ResponseWriter writer);
}
