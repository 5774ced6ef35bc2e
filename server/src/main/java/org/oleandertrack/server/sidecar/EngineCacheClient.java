package org.oleandertrack.server.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.core.ledger.CacheEvent;

/** The cache requests of a model engine over HTTP and JSON. Thread safe. */
final class EngineCacheClient {

    /** The engine is on the same host; a longer wait only delays the repetition. */
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private static final int OK = 200;

    private final HttpClient mClient;
    private final URI mEngine;
    private final ObjectMapper mMapper;

    EngineCacheClient(HttpClient client, URI engine, ObjectMapper mapper) {
        mClient = client;
        mEngine = engine;
        mMapper = mapper;
    }

    /** Reads the events with higher numbers than the given one. */
    CompletableFuture<List<CacheEvent>> eventsAfter(long sequence) {
        return send(request("/cache/events?after=" + sequence).GET())
                .thenApply(EngineCacheClient::events);
    }

    /** Reads how many tokens the cache can hold; 0 if the engine does not say. */
    CompletableFuture<Long> capacityTokens() {
        return send(request("/load").GET())
                .thenApply(load -> load.path("cache_capacity_tokens").asLong(0));
    }

    /** Frees what an owner holds; completes normally only if the engine confirms it. */
    CompletableFuture<Void> release(String owner) {
        String body = mMapper.createObjectNode().put("cache_owner", owner).toString();
        return send(request("/cache/release")
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(body)))
                .thenApply(answer -> null);
    }

    // Helpers

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create(mEngine + path)).timeout(TIMEOUT);
    }

    private CompletableFuture<JsonNode> send(HttpRequest.Builder request) {
        return mClient.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
                .thenApply(this::read);
    }

    private JsonNode read(HttpResponse<String> response) {
        if (response.statusCode() != OK) {
            throw new UncheckedIOException(
                    new IOException(
                            response.uri().getPath() + " answered " + response.statusCode()));
        }
        try {
            return mMapper.readTree(response.body());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Events of unknown kinds are dropped and count as missing. */
    private static List<CacheEvent> events(JsonNode answer) {
        List<CacheEvent> events = new ArrayList<>();
        for (JsonNode event : answer.path("events")) {
            CacheEvent.Kind kind =
                    switch (event.path("kind").asText("")) {
                        case "stored" -> CacheEvent.Kind.STORED;
                        case "evicted" -> CacheEvent.Kind.EVICTED;
                        default -> null;
                    };
            if (kind != null) {
                events.add(
                        new CacheEvent(
                                event.path("sequence").asLong(),
                                kind,
                                event.path("cache_owner").asText(""),
                                event.path("tokens").asLong()));
            }
        }
        return events;
    }
}
