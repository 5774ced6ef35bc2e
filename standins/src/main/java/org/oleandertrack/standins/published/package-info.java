/**
 * Stand-ins for what surrounds the gateway: back-end servers, callers, and the store with the
 * operator's configuration. They follow the gateway's published protocol.
 */
package org.oleandertrack.standins.published;
