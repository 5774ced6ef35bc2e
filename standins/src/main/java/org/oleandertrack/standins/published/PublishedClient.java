package org.oleandertrack.standins.published;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

/** An HTTP client that calls the gateway through its published protocol. Thread-safe. */
public final class PublishedClient {

    /**
     * Outcome of a request.
     *
     * @param status HTTP status; empty if no response arrived
     * @param signature signature that the server sent, or empty
     * @param echoedId id of the request that the response names, or empty
     * @param body the part of the body that arrived, of at most {@link #MAX_BODY_CHARS}
     * @param complete whether the whole response arrived
     * @param connected whether the connection was established
     * @param failure why no whole response arrived, or empty
     * @param durationNanos time from sending the request to the end of the response or the failure
     */
    public record Response(
            Optional<Integer> status,
            String signature,
            String echoedId,
            String body,
            boolean complete,
            boolean connected,
            String failure,
            long durationNanos) {}

    /**
     * A turn of a program.
     *
     * @param budgetTokens number of tokens that the whole program may generate
     * @param maxTokens number of tokens that this turn may generate
     * @param previousTurnId id of the turn that this one continues; empty for the first one
     */
    public record Turn(
            String program, long budgetTokens, int maxTokens, Optional<String> previousTurnId) {}

    /**
     * A stream that broke off and is taken up again.
     *
     * @param streamId id of the request that began it
     * @param lastEventId id of the last event that arrived
     */
    public record TakeUp(String streamId, int lastEventId) {}

    /** Deadline of each request. */
    public static final long DEADLINE_MILLIS = 4_000;

    /** Maximum number of characters of a body that the client keeps. */
    public static final int MAX_BODY_CHARS = 1 << 20;

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    // The client waits longer than its deadline, so that responses that end late are noticed.
    private static final Duration WAIT_LIMIT = Duration.ofSeconds(6);

    // Disables retries by the HTTP client, which would repeat requests that must not run twice.
    static {
        System.setProperty("jdk.httpclient.enableAllMethodRetry", "false");
        System.setProperty("jdk.httpclient.disableRetryConnect", "true");
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    private final HttpClient mClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .build();

    /** Sends a request to the gateway at an address and reads the response. */
    public Response send(
            String address,
            String path,
            String requestId,
            Optional<Turn> turn,
            Optional<TakeUp> takeUp) {
        String body = bodyOf(takeUp.map(TakeUp::streamId).orElse(requestId));
        HttpRequest.Builder request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://"
                                                + address
                                                + ":"
                                                + PublishedSettings.CALLER_PORT
                                                + path))
                        .timeout(WAIT_LIMIT)
                        .header("Host", PublishedStore.httpHost())
                        .header("X-Request-Id", requestId)
                        .header("X-Deadline-Milliseconds", Long.toString(DEADLINE_MILLIS))
                        .POST(HttpRequest.BodyPublishers.ofString(body));
        turn.ifPresent(
                t ->
                        request.header("X-Program-Id", t.program())
                                .header("X-Session-Id", t.program())
                                .header("X-Program-Deadline", Long.toString(DEADLINE_MILLIS))
                                .header("X-Token-Budget", Long.toString(t.budgetTokens()))
                                .header("X-Token-Counts", "600," + t.maxTokens())
                                .header("X-Prompt-Prefix", "aa:500," + t.program() + ":100"));
        turn.flatMap(Turn::previousTurnId).ifPresent(id -> request.header("X-Previous-Turn", id));
        takeUp.ifPresent(
                stream ->
                        request.header("Resumes", stream.streamId())
                                .header("Last-Event-Id", Integer.toString(stream.lastEventId())));
        long startNanos = System.nanoTime();
        StringBuilder received = new StringBuilder();
        HttpResponse<java.io.InputStream> response;
        try {
            response = mClient.send(request.build(), HttpResponse.BodyHandlers.ofInputStream());
        } catch (IOException e) {
            boolean connected =
                    !(e instanceof HttpConnectTimeoutException
                            || e instanceof java.net.ConnectException);
            return new Response(
                    Optional.empty(),
                    "",
                    "",
                    "",
                    false,
                    connected,
                    describe(e),
                    System.nanoTime() - startNanos);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
        Thread limit = Thread.startVirtualThread(() -> closeAtLimit(response, startNanos));
        String failure = readBody(response, received);
        limit.interrupt();
        return new Response(
                Optional.of(response.statusCode()),
                response.headers().firstValue("X-Response-Signature").orElse(""),
                response.headers().firstValue("X-Request-Id").orElse(""),
                received.toString(),
                failure.isEmpty(),
                true,
                failure,
                System.nanoTime() - startNanos);
    }

    /** Returns the body of the request with the given id. */
    public static String bodyOf(String requestId) {
        return "body of " + requestId;
    }

    private static void closeAtLimit(HttpResponse<java.io.InputStream> response, long startNanos) {
        try {
            Thread.sleep(WAIT_LIMIT.minusNanos(System.nanoTime() - startNanos));
            response.body().close();
        } catch (InterruptedException e) {
            // The response has ended in time.
        } catch (IOException e) {
            System.err.println("failed to close a response; continuing: " + e);
        }
    }

    /** Returns why the body has not arrived whole, or an empty text. */
    private static String readBody(HttpResponse<java.io.InputStream> response, StringBuilder body) {
        try (BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
            for (int next = reader.read(); next >= 0; next = reader.read()) {
                if (body.length() < MAX_BODY_CHARS) {
                    body.append((char) next);
                }
            }
            return "";
        } catch (IOException e) {
            return describe(e);
        }
    }

    private static String describe(IOException e) {
        return e.getCause() == null ? e.toString() : e + " by " + e.getCause();
    }
}
