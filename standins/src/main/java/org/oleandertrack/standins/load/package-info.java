/** A client that sends a bounded number of calls and measures their latency. */
package org.oleandertrack.standins.load;
