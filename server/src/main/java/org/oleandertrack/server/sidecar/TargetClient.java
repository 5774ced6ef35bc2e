package org.oleandertrack.server.sidecar;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.time.Duration;
import org.oleandertrack.protocol.InboundCall;
import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.Header;

/** Starts HTTP exchanges with the target. Thread safe. */
final class TargetClient {

    private final HttpClient mClient;
    private final URI mTarget;
    private final ObjectMapper mMapper;

    TargetClient(HttpClient client, URI target, ObjectMapper mapper) {
        mClient = client;
        mTarget = target;
        mMapper = mapper;
    }

    /** Sends a call to the target and streams the answer to the peer. */
    TargetExchange start(InboundCall call) {
        TargetExchange exchange = new TargetExchange(call, new UsageScanner(mMapper));
        exchange.begin(mClient, request(call));
        return exchange;
    }

    private HttpRequest request(InboundCall call) {
        Call head = call.head();
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(URI.create(mTarget + head.getPath()))
                        .timeout(Duration.ofMillis(Math.max(1, head.getTimeoutMillis())));
        for (Header header : head.getHeadersList()) {
            if (!HopHeaders.isHopHeader(header.getName())) {
                builder.header(header.getName(), header.getValue());
            }
        }
        return builder.method(head.getMethod(), body(call)).build();
    }

    private static HttpRequest.BodyPublisher body(InboundCall call) {
        return call.body().isEmpty()
                ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofByteArray(call.body().toByteArray());
    }
}
