/** Metrics in the Prometheus text format. */
package org.oleandertrack.telemetry.metrics;
