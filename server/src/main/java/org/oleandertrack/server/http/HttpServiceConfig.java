package org.oleandertrack.server.http;

import java.util.Optional;

/**
 * Where and how an HTTP server listens. Immutable.
 *
 * @param name name of the server in logs
 * @param address IP number
 * @param port TCP port for calls, 0 for any free one; empty for administration only
 * @param adminPort TCP port for administration, 0 for any free one
 * @param maxHeaderBytes largest size of the request headers, in bytes
 * @param idleTimeoutMillis time without traffic after which a connection is closed
 * @param shutdownGraceMillis time that requests under way have to end when the server stops
 */
public record HttpServiceConfig(
        String name,
        String address,
        Optional<Integer> port,
        int adminPort,
        int maxHeaderBytes,
        long idleTimeoutMillis,
        long shutdownGraceMillis) {}
