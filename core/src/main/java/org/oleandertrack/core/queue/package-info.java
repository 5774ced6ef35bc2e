/**
 * The queue of calls that a sidecar keeps in front of its target, and the service time attained by
 * programs.
 */
package org.oleandertrack.core.queue;
