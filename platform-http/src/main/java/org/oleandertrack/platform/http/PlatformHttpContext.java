package org.oleandertrack.platform.http;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.oleandertrack.coordination.store.StoreException;
import org.oleandertrack.core.result.Execution;

/**
 * Sends requests to one of the platform's services and turns failures into {@link StoreException}.
 * Thread safe.
 */
public final class PlatformHttpContext {

    private static final int STATUS_SERVICE_UNAVAILABLE = 503;

    private final HttpClient mClient;
    private final ObjectMapper mMapper;
    private final Duration mTimeout;

    /**
     * Creates a context.
     *
     * @param client shared by all services
     * @param timeoutMillis time allowed for one request, in milliseconds
     */
    public PlatformHttpContext(HttpClient client, long timeoutMillis) {
        mClient = client;
        mMapper = new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        mTimeout = Duration.ofMillis(timeoutMillis);
    }

    ObjectMapper mapper() {
        return mMapper;
    }

    /** Sends a request without a body. */
    CompletableFuture<HttpResponse<byte[]>> send(String method, URI uri) {
        return send(method, uri, HttpRequest.BodyPublishers.noBody());
    }

    /** Sends a request; the future fails with {@link StoreException} only. */
    CompletableFuture<HttpResponse<byte[]>> send(
            String method, URI uri, HttpRequest.BodyPublisher body) {
        HttpRequest request =
                HttpRequest.newBuilder(uri).timeout(mTimeout).method(method, body).build();
        return mClient.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                .handle((response, failure) -> accept(method, uri, response, failure));
    }

    /** Parses a JSON answer. */
    JsonNode parse(URI uri, byte[] body) {
        try {
            return mMapper.readTree(body);
        } catch (IOException e) {
            throw new StoreException(Execution.UNKNOWN, "invalid JSON from " + uri, e);
        }
    }

    static URI withQuery(URI base, String path, String... pairs) {
        StringBuilder query = new StringBuilder();
        for (int i = 0; i < pairs.length; i += 2) {
            query.append(i == 0 ? '?' : '&').append(pairs[i]).append('=');
            query.append(URLEncoder.encode(pairs[i + 1], StandardCharsets.UTF_8));
        }
        return URI.create(base + path + query);
    }

    private static HttpResponse<byte[]> accept(
            String method, URI uri, HttpResponse<byte[]> response, Throwable failure) {
        if (failure != null) {
            Throwable cause =
                    failure instanceof CompletionException && failure.getCause() != null
                            ? failure.getCause()
                            : failure;
            throw new StoreException(
                    executionAfter(cause), method + " " + uri + " failed: " + cause, cause);
        }
        if (response.statusCode() == STATUS_SERVICE_UNAVAILABLE) {
            throw new StoreException(Execution.NOT_RUN, method + " " + uri + " answered 503", null);
        }
        if (response.statusCode() >= 500) {
            throw new StoreException(
                    Execution.UNKNOWN,
                    method + " " + uri + " answered " + response.statusCode(),
                    null);
        }
        return response;
    }

    private static Execution executionAfter(Throwable cause) {
        boolean neverConnected =
                cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException;
        return neverConnected ? Execution.NOT_RUN : Execution.UNKNOWN;
    }
}
