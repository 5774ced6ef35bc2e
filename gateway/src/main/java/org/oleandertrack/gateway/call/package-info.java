/** One call from its arrival to the end of its answer. */
package org.oleandertrack.gateway.call;
