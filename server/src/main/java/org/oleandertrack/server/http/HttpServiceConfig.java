package org.oleandertrack.server.http;

import java.util.Optional;

/**
 * Configuration of an {@link HttpService}. Immutable.
 *
 * @param name name of the server in logs
 * @param address IP address on which both ports listen
 * @param port TCP port for calls, 0 for any free port; empty for administration only
 * @param adminPort TCP port for administration, 0 for any free port
 * @param maxHeaderBytes largest size of the request headers, in bytes
 * @param idleTimeoutMillis time without traffic after which a connection is closed
 * @param shutdownGraceMillis time for requests in progress to complete when the server stops
 */
public record HttpServiceConfig(
        String name,
        String address,
        Optional<Integer> port,
        int adminPort,
        int maxHeaderBytes,
        long idleTimeoutMillis,
        long shutdownGraceMillis) {}
