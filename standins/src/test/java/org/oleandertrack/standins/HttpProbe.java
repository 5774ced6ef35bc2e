package org.oleandertrack.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

/** Sends requests to a stand-in on the loopback address. */
public final class HttpProbe {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final int mPort;

    public HttpProbe(Standin standin) {
        mPort = standin.port();
    }

    public HttpRequest.Builder request(String target) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + mPort + target));
    }

    public HttpResponse<String> send(HttpRequest.Builder request)
            throws IOException, InterruptedException {
        return mClient.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    public CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest.Builder request) {
        return mClient.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    public HttpResponse<String> get(String target) throws IOException, InterruptedException {
        return send(request(target).GET());
    }

    public HttpResponse<String> post(String target, String body)
            throws IOException, InterruptedException {
        return send(request(target).POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    public CompletableFuture<HttpResponse<String>> postAsync(String target, String body) {
        return sendAsync(request(target).POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    /** Returns the JSON answer to a GET request. */
    public JsonNode json(String target) throws IOException, InterruptedException {
        return MAPPER.readTree(get(target).body());
    }

    public static JsonNode parse(String json) throws IOException {
        return MAPPER.readTree(json);
    }
}
