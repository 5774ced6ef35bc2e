package org.oleandertrack.telemetry.metrics;

/** Type of a metric. */
public enum MetricKind {
    /** A value that only increases while the process runs. */
    COUNTER,
    /** A value that increases and decreases. */
    GAUGE,
    /** A distribution of times, counted in buckets. */
    HISTOGRAM,
    /** A distribution of ratios, counted in buckets around 1. */
    RATIO_HISTOGRAM
}
