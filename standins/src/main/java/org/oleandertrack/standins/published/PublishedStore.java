package org.oleandertrack.standins.published;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Base64;
import java.util.List;
import org.oleandertrack.standins.http.Json;
import org.oleandertrack.standins.http.StandinServer;
import org.oleandertrack.standins.platform.PlatformHandler;
import org.oleandertrack.standins.platform.RowTables;

/**
 * A stand-in for the platform's store, with methods that write the operator's configuration and the
 * entries of the servers. These writes are not subject to the simulated faults. Thread-safe.
 */
public final class PublishedStore implements AutoCloseable {

    /** Number of tokens that an event of a stream counts for. */
    public static final int TOKENS_PER_EVENT = 6;

    private static final int MAX_ATTEMPTS = 3;
    // Longer than a run of the soak, so that no turn expires in it.
    private static final double RETENTION_SECONDS = 600;
    private static final String HTTP_HOST = "service.example";

    private final PlatformHandler mHandler = new PlatformHandler();
    private final StandinServer mServer;

    /** Starts a store on a free port of the loopback address. */
    public PublishedStore() throws IOException {
        mServer = new StandinServer("127.0.0.1", 0, mHandler);
        mServer.start();
    }

    // Life-cycle

    @Override
    public void close() {
        mServer.stop();
    }

    // Accessors

    public int port() {
        return mServer.port();
    }

    /** Returns the HTTP host name of the configured routes. */
    public static String httpHost() {
        return HTTP_HOST;
    }

    // Operations

    /**
     * Writes a configuration with routes for streams at one server and at several, for requests
     * that must not repeat, and for requests that may.
     */
    public void configure(long version, long timeoutMillis) {
        ObjectNode config = Json.object().put("version", version);
        ArrayNode routes = config.putArray("routes");
        addStreamRoute(routes, "turn", 1, timeoutMillis);
        addStreamRoute(routes, "relay", MAX_ATTEMPTS, timeoutMillis);
        addRoute(routes, "order", "unsafe", "orders", 1, timeoutMillis);
        addRoute(routes, "lookup", "safe", "lookups", MAX_ATTEMPTS, timeoutMillis);
        ArrayNode services = config.putArray("services");
        services.addObject()
                .put("name", "engine")
                .put("connection_limit", 200)
                .putObject("engine")
                .put("slots", 16)
                .put("cache_tokens", 100_000)
                .put("stride", TOKENS_PER_EVENT);
        services.addObject().put("name", "orders").put("connection_limit", 200);
        services.addObject().put("name", "lookups").put("connection_limit", 200);
        writeRow("op", "config", config);
    }

    /** Writes the entry of a server, with the current time as its start time. */
    public void register(PublishedServer server, String service, int port, boolean draining) {
        writeRow(
                "servers",
                server.id(),
                Json.object()
                        .put("service", service)
                        .put("address", "127.0.0.1:" + port)
                        .put("zone", "zone")
                        .put("version", server.version())
                        .put("slots", server.slots())
                        .put("state", draining ? "draining" : "ready")
                        .put("born", System.currentTimeMillis()));
    }

    /** Removes the entry of a server. */
    public void remove(String serverId) {
        mHandler.tables()
                .apply(
                        new RowTables.Transaction(
                                List.of(),
                                List.of(),
                                List.of(new RowTables.Id("servers", "", serverId))));
    }

    /**
     * Replaces the simulated faults of the store.
     *
     * @param json the body of a {@code POST /control/faults} request; see the page on stand-ins
     */
    public void setFaults(String json) throws IOException {
        mHandler.setFaults(
                Json.parseObject(json.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
    }

    /** Clears the change history, so that readers of the feed must read the tables again. */
    public void clearHistory() {
        mHandler.tables().clearHistory();
    }

    // Helpers

    private static void addStreamRoute(
            ArrayNode routes, String name, int attempts, long timeoutMillis) {
        addRoute(routes, name, "streaming", "engine", attempts, timeoutMillis)
                .put("allow_resume", true)
                .put("keeps_history", true)
                .put("retention_s", RETENTION_SECONDS);
    }

    private static ObjectNode addRoute(
            ArrayNode routes,
            String name,
            String kind,
            String service,
            int attempts,
            long timeoutMillis) {
        return routes.addObject()
                .put("name", name)
                .put("host", HTTP_HOST)
                .put("prefix", "/" + name + "/")
                .put("kind", kind)
                .put("timeout_ms", timeoutMillis)
                .put("attempts", attempts)
                .put("service", service);
    }

    private void writeRow(String table, String key, ObjectNode value) {
        RowTables.Write write =
                new RowTables.Write(
                        new RowTables.Id(table, "", key),
                        Base64.getEncoder().encodeToString(Json.bytes(value)));
        mHandler.tables().apply(new RowTables.Transaction(List.of(), List.of(write), List.of()));
    }
}
