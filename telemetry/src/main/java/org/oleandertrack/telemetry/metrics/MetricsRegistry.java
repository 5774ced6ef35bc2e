package org.oleandertrack.telemetry.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.io.OutputStream;
import java.util.EnumMap;
import java.util.Map;

/**
 * The metrics of one process. Repeated requests for a metric return the same object. Thread-safe.
 */
public final class MetricsRegistry {

    // Upper bounds of the histogram buckets: from 50 microseconds, the time limit of a placement
    // decision, in steps of a factor of 2.5 up to about 290 s.
    private static final double SMALLEST_BUCKET_SECONDS = 0.000_05;
    private static final double BUCKET_FACTOR = 2.5;
    private static final int BUCKET_COUNT = 18;

    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final PrometheusTextFormatWriter mTextWriter = PrometheusTextFormatWriter.create();
    private final Map<Metric, Object> mMetrics = new EnumMap<>(Metric.class);

    // Accessors

    /**
     * Returns the counter of a metric.
     *
     * @throws IllegalArgumentException if the metric is not a counter
     */
    public Counter counter(Metric metric) {
        return get(metric, MetricKind.COUNTER, Counter.class);
    }

    /**
     * Returns the gauge of a metric.
     *
     * @throws IllegalArgumentException if the metric is not a gauge
     */
    public Gauge gauge(Metric metric) {
        return get(metric, MetricKind.GAUGE, Gauge.class);
    }

    /**
     * Returns the histogram of a metric, in seconds.
     *
     * @throws IllegalArgumentException if the metric is not a histogram
     */
    public Histogram histogram(Metric metric) {
        return get(metric, MetricKind.HISTOGRAM, Histogram.class);
    }

    /** Returns the MIME type of the output of {@link #writeText}. */
    public String textContentType() {
        return mTextWriter.getContentType();
    }

    // Operations

    /** Writes the current values in the Prometheus text format. Does not close the stream. */
    public void writeText(OutputStream output) throws IOException {
        mTextWriter.write(output, mRegistry.scrape());
    }

    // Helpers

    private synchronized <T> T get(Metric metric, MetricKind kind, Class<T> type) {
        if (metric.kind() != kind) {
            throw new IllegalArgumentException(metric + " is not a " + kind);
        }
        return type.cast(mMetrics.computeIfAbsent(metric, this::register));
    }

    private Object register(Metric metric) {
        String[] labels = metric.labels().toArray(String[]::new);
        return switch (metric.kind()) {
            case COUNTER ->
                    Counter.builder()
                            .name(metric.metricName())
                            .help(metric.summary())
                            .labelNames(labels)
                            .register(mRegistry);
            case GAUGE ->
                    Gauge.builder()
                            .name(metric.metricName())
                            .help(metric.summary())
                            .labelNames(labels)
                            .register(mRegistry);
            case HISTOGRAM ->
                    Histogram.builder()
                            .name(metric.metricName())
                            .help(metric.summary())
                            .labelNames(labels)
                            .classicOnly()
                            .classicExponentialUpperBounds(
                                    SMALLEST_BUCKET_SECONDS, BUCKET_FACTOR, BUCKET_COUNT)
                            .register(mRegistry);
        };
    }
}
