/** Logs and metrics that all processes of the product share. */
package org.oleandertrack.telemetry;
