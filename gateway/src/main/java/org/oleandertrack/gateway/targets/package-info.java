/** Targets of the gateway: their load, their connections and the choice between them. */
package org.oleandertrack.gateway.targets;
