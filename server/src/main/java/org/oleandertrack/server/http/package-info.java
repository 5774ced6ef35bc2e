/** The HTTP server that both daemons use, with its metrics, liveness and readiness endpoints. */
package org.oleandertrack.server.http;
