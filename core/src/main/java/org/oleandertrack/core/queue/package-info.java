/** The queue that a sidecar holds in front of its target, and the service attained by programs. */
package org.oleandertrack.core.queue;
