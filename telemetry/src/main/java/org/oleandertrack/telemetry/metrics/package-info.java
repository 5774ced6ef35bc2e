/** Metrics in the Prometheus format. */
package org.oleandertrack.telemetry.metrics;
