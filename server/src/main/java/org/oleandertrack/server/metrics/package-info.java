/** Metrics in the Prometheus format. */
package org.oleandertrack.server.metrics;
