package org.oleandertrack.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

/** HTTP client for tests; sends requests to a stand-in on the loopback address. */
public final class HttpTestClient {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final int mPort;

    public HttpTestClient(Standin standin) {
        mPort = standin.port();
    }

    public HttpRequest.Builder request(String pathAndQuery) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + mPort + pathAndQuery));
    }

    public HttpResponse<String> send(HttpRequest.Builder request)
            throws IOException, InterruptedException {
        return mClient.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    public CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest.Builder request) {
        return mClient.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    public HttpResponse<String> get(String pathAndQuery) throws IOException, InterruptedException {
        return send(request(pathAndQuery).GET());
    }

    public HttpResponse<String> post(String pathAndQuery, String body)
            throws IOException, InterruptedException {
        return send(request(pathAndQuery).POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    public CompletableFuture<HttpResponse<String>> postAsync(String pathAndQuery, String body) {
        return sendAsync(request(pathAndQuery).POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    /** Sends a GET request and returns the JSON body of the response. */
    public JsonNode json(String pathAndQuery) throws IOException, InterruptedException {
        return MAPPER.readTree(get(pathAndQuery).body());
    }

    public static JsonNode parse(String json) throws IOException {
        return MAPPER.readTree(json);
    }
}
