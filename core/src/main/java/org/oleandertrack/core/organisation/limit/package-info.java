/**
 * Limits on the requests of organisations that all hosts hold together: the state of the host that
 * issues permits and that of the hosts that ask for them.
 */
package org.oleandertrack.core.organisation.limit;
