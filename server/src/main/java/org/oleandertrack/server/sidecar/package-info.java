/** The process beside a target: checks, queues and runs calls and streams the answers back. */
package org.oleandertrack.server.sidecar;
