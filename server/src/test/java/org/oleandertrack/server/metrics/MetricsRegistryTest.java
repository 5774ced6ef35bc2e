package org.oleandertrack.server.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.eclipse.jetty.ee10.servlet.ServletContextHandler;
import org.eclipse.jetty.ee10.servlet.ServletHolder;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.junit.jupiter.api.Test;
import org.oleandertrack.server.http.MetricsServlet;
import org.oleandertrack.telemetry.metrics.Metric;
import org.oleandertrack.telemetry.metrics.MetricKind;
import org.oleandertrack.telemetry.metrics.MetricsRegistry;

/** Guards against metrics that are undocumented, break the naming convention or are not exposed. */
final class MetricsRegistryTest {

    private static final Path PAGE = Path.of("..", "docs", "metrics.md");

    private final MetricsRegistry mRegistry = new MetricsRegistry();

    @Test
    void pageListsEveryMetric() throws IOException {
        List<String> expected =
                Arrays.stream(Metric.values())
                        .map(
                                m ->
                                        "| `%s` | %s | %s | %s | %s |"
                                                .formatted(
                                                        m.metricName(),
                                                        m.kind().name().toLowerCase(Locale.ROOT),
                                                        m.unit(),
                                                        String.join(", ", m.labels()),
                                                        m.summary()))
                        .map(row -> row.replace("|  |", "| - |"))
                        .toList();
        List<String> actual =
                Files.readAllLines(PAGE).stream().filter(l -> l.startsWith("| `")).toList();
        assertEquals(expected, actual);
    }

    @Test
    void namesFollowTheConvention() {
        for (Metric metric : Metric.values()) {
            String name = metric.metricName();
            assertTrue(name.matches("oleandertrack(_[a-z]+)+"), name);
            assertEquals(metric.kind() == MetricKind.COUNTER, name.endsWith("_total"), name);
            if (metric.kind() == MetricKind.HISTOGRAM) {
                assertTrue(name.endsWith("_seconds"), name);
            }
            assertEquals(
                    metric.kind() == MetricKind.RATIO_HISTOGRAM, name.endsWith("_ratio"), name);
        }
    }

    @Test
    void everyMetricIsExposedUnderItsName() throws IOException {
        for (Metric metric : Metric.values()) {
            String[] values = metric.labels().toArray(String[]::new);
            switch (metric.kind()) {
                case COUNTER -> mRegistry.counter(metric).labelValues(values).inc();
                case GAUGE -> mRegistry.gauge(metric).labelValues(values).set(1);
                case HISTOGRAM, RATIO_HISTOGRAM ->
                        mRegistry.histogram(metric).labelValues(values).observe(1);
                default -> throw new AssertionError(metric.kind());
            }
        }
        String text = text();
        for (Metric metric : Metric.values()) {
            String suffix =
                    switch (metric.kind()) {
                        case HISTOGRAM, RATIO_HISTOGRAM -> "_count";
                        case COUNTER, GAUGE -> "";
                    };
            assertTrue(
                    text.lines().anyMatch(l -> l.startsWith(metric.metricName() + suffix)),
                    metric.metricName() + " is missing in:\n" + text);
        }
    }

    @Test
    void sameMetricIsTheSameObject() {
        assertSame(mRegistry.counter(Metric.CALLS), mRegistry.counter(Metric.CALLS));
        assertThrows(IllegalArgumentException.class, () -> mRegistry.gauge(Metric.CALLS));
    }

    @Test
    void servletAnswersWithTheTextFormat() throws Exception {
        mRegistry.gauge(Metric.SHARDS_HELD).set(12);
        Server server = new Server();
        ServerConnector connector = new ServerConnector(server);
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        ServletContextHandler context = new ServletContextHandler();
        context.addServlet(new ServletHolder(new MetricsServlet(mRegistry)), MetricsServlet.PATH);
        server.setHandler(context);
        server.start();
        try (HttpClient client = HttpClient.newHttpClient()) {
            URI uri = URI.create("http://127.0.0.1:" + connector.getLocalPort() + "/metrics");
            HttpResponse<String> response =
                    client.send(HttpRequest.newBuilder(uri).build(), BodyHandlers.ofString());
            assertEquals(200, response.statusCode());
            assertTrue(
                    response.headers()
                            .firstValue("Content-Type")
                            .orElse("")
                            .startsWith("text/plain"));
            assertTrue(response.body().contains("oleandertrack_shards_held 12.0"));
        } finally {
            server.stop();
        }
    }

    private String text() throws IOException {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        mRegistry.writeText(output);
        return output.toString(StandardCharsets.UTF_8);
    }
}
