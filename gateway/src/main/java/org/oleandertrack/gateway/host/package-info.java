/** The gateway process: its start and stop, the servers it runs and the store tables it follows. */
package org.oleandertrack.gateway.host;
