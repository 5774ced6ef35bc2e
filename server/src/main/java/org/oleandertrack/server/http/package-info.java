/** HTTP servers of the daemons: calls, metrics, liveness and readiness. */
package org.oleandertrack.server.http;
