package org.oleandertrack.telemetry.metrics;

/** How a metric's value behaves. */
public enum MetricKind {
    /** Only rises while the process runs. */
    COUNTER,
    /** Rises and falls. */
    GAUGE,
    /** Counts observations in buckets. */
    HISTOGRAM
}
