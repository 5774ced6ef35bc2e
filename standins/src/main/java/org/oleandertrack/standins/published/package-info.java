/**
 * Stand-ins for the servers, callers and operator around the gateway, by the published protocol.
 */
package org.oleandertrack.standins.published;
