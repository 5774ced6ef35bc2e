/** The process that runs the gateway: what it follows, serves and stops. */
package org.oleandertrack.gateway.host;
