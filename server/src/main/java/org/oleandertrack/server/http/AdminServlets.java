package org.oleandertrack.server.http;

import io.dropwizard.core.setup.Environment;
import jakarta.servlet.Servlet;
import java.util.function.Supplier;

/** Registers the metrics, liveness and readiness endpoints on the administration port. */
public final class AdminServlets {

    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;

    private AdminServlets() {}

    /**
     * Registers {@code /metrics}, {@code /live} and {@code /ready}.
     *
     * @param metrics the servlet that serves the metrics
     * @param ready returns whether the process accepts new work
     */
    public static void register(Environment environment, Servlet metrics, Supplier<Boolean> ready) {
        add(environment, "metrics", "/metrics", metrics);
        add(
                environment,
                "live",
                "/live",
                new TextServlet(() -> new TextServlet.TextResponse(STATUS_OK, "live\n")));
        add(environment, "ready", "/ready", new TextServlet(() -> readiness(ready.get())));
    }

    private static TextServlet.TextResponse readiness(boolean ready) {
        return ready
                ? new TextServlet.TextResponse(STATUS_OK, "ready\n")
                : new TextServlet.TextResponse(STATUS_UNAVAILABLE, "not ready\n");
    }

    private static void add(Environment environment, String name, String path, Servlet servlet) {
        environment.admin().addServlet(name, servlet).addMapping(path);
    }
}
