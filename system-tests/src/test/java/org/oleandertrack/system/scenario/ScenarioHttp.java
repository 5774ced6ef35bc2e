package org.oleandertrack.system.scenario;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Sends each request on a new connection. Thread safe. */
final class ScenarioHttp {

    private final ExecutorService mExecutor = Executors.newVirtualThreadPerTaskExecutor();

    /** Sends a request without waiting for its answer. */
    PendingCall send(URI base, SentRequest request) {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(base.resolve(request.path()))
                        .method(
                                request.method(),
                                request.body().isEmpty()
                                        ? HttpRequest.BodyPublishers.noBody()
                                        : HttpRequest.BodyPublishers.ofString(request.body()));
        request.headers().forEach(builder::header);
        // A client per request gives each request a new connection. With a shared client, a request
        // could fail on an idle connection that a stopping process has closed, although the process
        // cut off no request.
        HttpClient client =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .executor(mExecutor)
                        .build();
        PendingCall call = new PendingCall(request, client::shutdown);
        call.startReading(
                client.sendAsync(builder.build(), HttpResponse.BodyHandlers.ofInputStream()));
        return call;
    }

    /**
     * Sends a GET request and returns the body of the answer.
     *
     * @throws AssertionError unless the status is 200
     */
    String getPage(URI uri) {
        SentRequest request =
                new SentRequest("GET", uri.getRawPath(), Map.of(), "", Optional.empty(), List.of());
        Answer answer = send(uri, request).await();
        if (answer.status() != 200) {
            throw new AssertionError(uri + ": " + answer);
        }
        return answer.body();
    }
}
