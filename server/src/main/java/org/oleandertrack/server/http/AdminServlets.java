package org.oleandertrack.server.http;

import io.dropwizard.core.setup.Environment;
import jakarta.servlet.Servlet;
import java.util.function.Supplier;

/** Registers metrics, liveness and readiness on the administration port. */
public final class AdminServlets {

    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;

    private AdminServlets() {}

    /**
     * Registers the three pages.
     *
     * @param ready tells whether the process takes new work
     */
    public static void register(Environment environment, Servlet metrics, Supplier<Boolean> ready) {
        add(environment, "metrics", "/metrics", metrics);
        add(
                environment,
                "live",
                "/live",
                new TextServlet(() -> new TextServlet.Answer(STATUS_OK, "live\n")));
        add(environment, "ready", "/ready", new TextServlet(() -> readiness(ready.get())));
    }

    private static TextServlet.Answer readiness(boolean ready) {
        return ready
                ? new TextServlet.Answer(STATUS_OK, "ready\n")
                : new TextServlet.Answer(STATUS_UNAVAILABLE, "not ready\n");
    }

    private static void add(Environment environment, String name, String path, Servlet servlet) {
        environment.admin().addServlet(name, servlet).addMapping(path);
    }
}
