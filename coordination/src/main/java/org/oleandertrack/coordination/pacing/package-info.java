/** Limits the rate of this host's writes to the store while the store is over its rate. */
package org.oleandertrack.coordination.pacing;
