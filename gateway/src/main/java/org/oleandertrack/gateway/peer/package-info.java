/** Peers, which are the other gateways: their discovery, and calls between gateways. */
package org.oleandertrack.gateway.peer;
