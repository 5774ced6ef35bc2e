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

/**
 * A fake model engine over HTTP: answers calls, stores prefixes and reports cache events.
 * Thread-safe.
 */
final class FakeEngine implements AutoCloseable {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String COMPLETION_BODY =
            "{\"choices\":[],\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":3}}";

    private final HttpServer mServer;
    private final Map<String, Long> mHeldTokens = new HashMap<>();
    private final List<String> mReleaseRequests = new ArrayList<>();
    private final ArrayNode mEvents = MAPPER.createArrayNode();
    private long mSequence;
    private int mEventReads;
    private int mReleasesToFail;
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

    synchronized Map<String, Long> heldTokens() {
        return Map.copyOf(mHeldTokens);
    }

    /** Returns the owners of all release requests that arrived, including those that failed. */
    synchronized List<String> releaseRequests() {
        return List.copyOf(mReleaseRequests);
    }

    synchronized int eventReads() {
        return mEventReads;
    }

    // Operations

    synchronized void setCapacity(long tokens) {
        mCapacityTokens = tokens;
    }

    /** Lets the given number of following release requests fail with status 503. */
    synchronized void failReleases(int count) {
        mReleasesToFail = count;
    }

    /** Stores tokens and uses up a sequence number, but reports no event for them. */
    synchronized void storeWithoutEvent(String owner, long tokens) {
        mHeldTokens.merge(owner, tokens, Long::sum);
        mSequence++;
    }

    synchronized void store(String owner, long tokens) {
        mHeldTokens.merge(owner, tokens, Long::sum);
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
                    respond(exchange, 200, COMPLETION_BODY);
                }
                case "/cache/release" -> release(exchange, body.path("cache_owner").asText());
                case "/cache/events" -> respond(exchange, 200, eventsJson(exchange));
                case "/load" ->
                        respond(exchange, 200, "{\"cache_capacity_tokens\":" + capacity() + "}");
                default -> respond(exchange, 404, "{}");
            }
        }
    }

    private synchronized long capacity() {
        return mCapacityTokens;
    }

    private synchronized String eventsJson(HttpExchange exchange) {
        mEventReads++;
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
        int status = releaseTokens(owner);
        respond(exchange, status, "{\"released_tokens\":0}");
    }

    private synchronized int releaseTokens(String owner) {
        mReleaseRequests.add(owner);
        if (mReleasesToFail > 0) {
            mReleasesToFail--;
            return 503;
        }
        Long tokens = mHeldTokens.remove(owner);
        if (tokens != null) {
            addEvent("evicted", owner, tokens);
        }
        return 200;
    }

    private static void respond(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }
}
