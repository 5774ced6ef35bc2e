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

/** Sends requests as a caller or an operator would. Thread safe. */
public final class HttpCaller {

    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final long POLL_NANOS = 20_000_000;
    private static final int MAX_POLLS = 3_000;

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** Sends a request and returns the whole answer. */
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

    /** Posts JSON and returns the answer's body; fails unless the status is 2xx. */
    public String postJson(URI uri, String json) {
        HttpResponse<String> response =
                send("POST", uri, Map.of("Content-Type", "application/json"), json);
        if (response.statusCode() / 100 != 2) {
            throw new IllegalStateException(
                    uri + " answered " + response.statusCode() + ": " + response.body());
        }
        return response.body();
    }

    /** Polls a page until it answers with a status. */
    public void awaitStatus(URI uri, int status) {
        for (int i = 0; i < MAX_POLLS; i++) {
            if (send("GET", uri, Map.of(), "").statusCode() == status) {
                return;
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
        throw new IllegalStateException(uri + " did not answer with status " + status);
    }
}
