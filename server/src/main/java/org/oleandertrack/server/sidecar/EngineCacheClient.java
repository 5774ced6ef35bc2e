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
import java.util.function.Supplier;
import org.oleandertrack.core.ledger.CacheEvent;

/** Client of a model engine's cache API, which is JSON over HTTP. Thread safe. */
final class EngineCacheClient {

    /** The engine runs on the same host, so a longer timeout would only delay the retry. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

    /** A longer response fails its request. */
    private static final long MAX_RESPONSE_BYTES = 32L << 20;

    private static final int STATUS_OK = 200;

    private final Supplier<HttpClient> mClients;
    private final URI mEngineUri;
    private final ObjectMapper mMapper;

    /**
     * Creates a client.
     *
     * @param clients creates an HTTP client with no connections, so that a late second response
     *     answers no other request; it is shut down after its request
     */
    EngineCacheClient(Supplier<HttpClient> clients, URI engine, ObjectMapper mapper) {
        mClients = clients;
        mEngineUri = engine;
        mMapper = mapper;
    }

    /** Reads the cache events that follow the given sequence number. */
    CompletableFuture<List<CacheEvent>> fetchEventsAfter(long sequence) {
        return send(newRequest("/cache/events?after=" + sequence).GET())
                .thenApply(EngineCacheClient::parseEvents);
    }

    /** Reads the cache capacity in tokens; 0 if the engine does not report it. */
    CompletableFuture<Long> fetchCapacityTokens() {
        return send(newRequest("/load").GET())
                .thenApply(load -> load.path("cache_capacity_tokens").asLong(0));
    }

    /**
     * Frees the cached prefixes of an owner. The future completes normally only if the engine
     * confirms the release.
     *
     * @param owner the program that the prefixes belong to, as {@code organisation/program}
     */
    CompletableFuture<Void> release(String owner) {
        String body = mMapper.createObjectNode().put("cache_owner", owner).toString();
        return send(newRequest("/cache/release")
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(body)))
                .thenApply(response -> null);
    }

    // Helpers

    private HttpRequest.Builder newRequest(String path) {
        return HttpRequest.newBuilder(URI.create(mEngineUri + path)).timeout(REQUEST_TIMEOUT);
    }

    private CompletableFuture<JsonNode> send(HttpRequest.Builder request) {
        HttpClient client = mClients.get();
        return client.sendAsync(
                        request.build(),
                        HttpResponse.BodyHandlers.limiting(
                                HttpResponse.BodyHandlers.ofString(), MAX_RESPONSE_BYTES))
                .whenComplete((response, failure) -> client.shutdownNow())
                .thenApply(this::parseBody);
    }

    private JsonNode parseBody(HttpResponse<String> response) {
        if (response.statusCode() != STATUS_OK) {
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

    /**
     * Skips events of unknown kinds. Their sequence numbers are then missing, and the memory ledger
     * treats them as lost events.
     */
    private static List<CacheEvent> parseEvents(JsonNode body) {
        List<CacheEvent> events = new ArrayList<>();
        for (JsonNode event : body.path("events")) {
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
