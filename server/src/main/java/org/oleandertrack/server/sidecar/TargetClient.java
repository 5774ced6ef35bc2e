package org.oleandertrack.server.sidecar;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.oleandertrack.protocol.InboundCall;
import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.Header;

/**
 * Sends calls to the target over HTTP, each on a connection of its own: nothing in HTTP tells a
 * late second response to a call from the response to the next one. Thread safe.
 */
final class TargetClient {

    private final Supplier<HttpClient> mClients;
    private final URI mTargetUri;
    private final ObjectMapper mMapper;

    /**
     * Creates a client.
     *
     * @param clients creates an HTTP client with no connections; it is shut down after its call
     */
    TargetClient(Supplier<HttpClient> clients, URI target, ObjectMapper mapper) {
        mClients = clients;
        mTargetUri = target;
        mMapper = mapper;
    }

    /**
     * Sends a call to the target and streams the response to the peer.
     *
     * @param onRateStated receives the rate limit that the response states, or that it states none
     * @throws IllegalArgumentException if the call's method, path or a header is not valid in HTTP
     */
    TargetExchange send(InboundCall call, Consumer<OptionalDouble> onRateStated) {
        TargetExchange exchange = new TargetExchange(call, new UsageScanner(mMapper), onRateStated);
        HttpRequest request = toHttpRequest(call);
        exchange.send(mClients.get(), request);
        return exchange;
    }

    private HttpRequest toHttpRequest(InboundCall call) {
        Call head = call.head();
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(URI.create(mTargetUri + head.getPath()))
                        .timeout(Duration.ofMillis(Math.max(1, head.getTimeoutMillis())));
        for (Header header : head.getHeadersList()) {
            if (!HopByHopHeaders.isHopByHop(header.getName())) {
                builder.header(header.getName(), header.getValue());
            }
        }
        return builder.method(head.getMethod(), toBodyPublisher(call)).build();
    }

    private static HttpRequest.BodyPublisher toBodyPublisher(InboundCall call) {
        return call.body().isEmpty()
                ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofByteArray(call.body().toByteArray());
    }
}
