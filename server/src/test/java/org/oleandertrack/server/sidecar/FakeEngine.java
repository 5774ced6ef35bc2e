package org.oleandertrack.server.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The HTTP shape of an engine's calls, cache events and releases. Thread-safe. */
final class FakeEngine implements AutoCloseable {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String ANSWER =
            "{\"choices\":[],\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":3}}";

    private final HttpServer mServer;
    private final Map<String, Long> mHeld = new HashMap<>();
    private final List<String> mReleased = new ArrayList<>();
    private final ArrayNode mEvents = MAPPER.createArrayNode();
    private long mSequence;
    private int mReads;
    private int mFailures;
    private long mCapacityTokens;

    FakeEngine() throws IOException {
        mServer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        mServer.createContext("/", this::handle);
        mServer.start();
    }

    // Life-cycle

    @Override
    public void close() {
        mServer.stop(0);
    }

    // Accessors

    String url() {
        return "http://127.0.0.1:" + mServer.getAddress().getPort();
    }

    synchronized Map<String, Long> held() {
        return Map.copyOf(mHeld);
    }

    /** Returns the owners of the releases that arrived, carried out or not. */
    synchronized List<String> released() {
        return List.copyOf(mReleased);
    }

    synchronized int reads() {
        return mReads;
    }

    // Operations

    synchronized void setCapacity(long tokens) {
        mCapacityTokens = tokens;
    }

    /** Answers the next releases with 503 without carrying them out. */
    synchronized void failReleases(int count) {
        mFailures = count;
    }

    synchronized void storeAndLoseEvent(String owner, long tokens) {
        mHeld.merge(owner, tokens, Long::sum);
        mSequence++;
    }

    synchronized void store(String owner, long tokens) {
        mHeld.merge(owner, tokens, Long::sum);
        addEvent("stored", owner, tokens);
    }

    // Helpers

    private void addEvent(String kind, String owner, long tokens) {
        mEvents.addObject()
                .put("sequence", ++mSequence)
                .put("kind", kind)
                .put("cache_owner", owner)
                .put("tokens", tokens);
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            JsonNode body = MAPPER.readTree(exchange.getRequestBody());
            switch (exchange.getRequestURI().getPath()) {
                case "/v1/chat/completions" -> {
                    store(body.path("cache_owner").asText(), 10);
                    answer(exchange, 200, ANSWER);
                }
                case "/cache/release" -> release(exchange, body.path("cache_owner").asText());
                case "/cache/events" -> answer(exchange, 200, events(exchange));
                case "/load" ->
                        answer(exchange, 200, "{\"cache_capacity_tokens\":" + capacity() + "}");
                default -> answer(exchange, 404, "{}");
            }
        }
    }

    private synchronized long capacity() {
        return mCapacityTokens;
    }

    private synchronized String events(HttpExchange exchange) {
        mReads++;
        String query = exchange.getRequestURI().getQuery();
        long after = Long.parseLong(query.substring("after=".length()));
        ObjectNode answer = MAPPER.createObjectNode();
        ArrayNode events = answer.putArray("events");
        for (JsonNode event : mEvents) {
            if (event.path("sequence").asLong() > after) {
                events.add(event);
            }
        }
        return answer.toString();
    }

    private void release(HttpExchange exchange, String owner) throws IOException {
        int status = carryOut(owner);
        answer(exchange, status, "{\"released_tokens\":0}");
    }

    private synchronized int carryOut(String owner) {
        mReleased.add(owner);
        if (mFailures > 0) {
            mFailures--;
            return 503;
        }
        Long tokens = mHeld.remove(owner);
        if (tokens != null) {
            addEvent("evicted", owner, tokens);
        }
        return 200;
    }

    private static void answer(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }
}
