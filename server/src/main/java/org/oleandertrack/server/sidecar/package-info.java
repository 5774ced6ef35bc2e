/**
 * The sidecar, the process that runs beside one target. It checks the calls that entry hosts send,
 * queues them, runs them at the target and streams the responses back.
 */
package org.oleandertrack.server.sidecar;
