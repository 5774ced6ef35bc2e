/** Load client: sends a fixed number of HTTP calls and measures their latency. */
package org.oleandertrack.standins.load;
