/** Log lines as JSON objects on standard output. */
package org.oleandertrack.telemetry.logging;
