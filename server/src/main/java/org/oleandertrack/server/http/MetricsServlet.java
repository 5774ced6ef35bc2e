package org.oleandertrack.server.http;

import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import org.oleandertrack.telemetry.metrics.MetricsRegistry;

/** Serves the metrics of the process in the Prometheus text format. Thread-safe. */
public final class MetricsServlet extends HttpServlet {

    /** Path of the endpoint on the administration port. */
    public static final String PATH = "/metrics";

    private static final long serialVersionUID = 1L;

    private final transient MetricsRegistry mRegistry;

    /** Creates a servlet for the metrics of one process. */
    public MetricsServlet(MetricsRegistry registry) {
        mRegistry = registry;
    }

    @Override
    protected void doGet(HttpServletRequest request, HttpServletResponse response)
            throws IOException {
        response.setStatus(HttpServletResponse.SC_OK);
        response.setContentType(mRegistry.textContentType());
        mRegistry.writeText(response.getOutputStream());
    }
}
