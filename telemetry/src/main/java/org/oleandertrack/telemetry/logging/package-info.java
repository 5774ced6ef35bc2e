/** Logging of JSON objects, one per line, to standard output. */
package org.oleandertrack.telemetry.logging;
