package org.oleandertrack.system;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;

/** An HTTP client for requests of callers and operators. Thread safe. */
public final class HttpCaller {

    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final long POLL_INTERVAL_NANOS = 20_000_000;
    private static final int MAX_POLLS = 3_000;

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** Sends a request, waits for the complete response and returns it. */
    public HttpResponse<String> send(
            String method, URI uri, Map<String, String> headers, String body) {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(uri)
                        .timeout(TIMEOUT)
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        headers.forEach(builder::header);
        try {
            return mClient.send(builder.build(), HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new UncheckedIOException(method + " " + uri, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /**
     * Posts JSON and returns the body of the response.
     *
     * @throws IllegalStateException if the status is not 2xx
     */
    public String postJson(URI uri, String json) {
        HttpResponse<String> response =
                send("POST", uri, Map.of("Content-Type", "application/json"), json);
        if (response.statusCode() / 100 != 2) {
            throw new IllegalStateException(
                    uri + " answered " + response.statusCode() + ": " + response.body());
        }
        return response.body();
    }

    /**
     * Sends GET requests until one is answered with the given status.
     *
     * @throws IllegalStateException if that does not happen within the maximum number of polls
     */
    public void awaitStatus(URI uri, int status) {
        for (int i = 0; i < MAX_POLLS; i++) {
            if (send("GET", uri, Map.of(), "").statusCode() == status) {
                return;
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
        throw new IllegalStateException(uri + " did not answer with status " + status);
    }
}
