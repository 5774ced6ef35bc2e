package org.oleandertrack.gateway.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.core.traffic.Route;
import org.oleandertrack.core.traffic.RouteTable;
import org.oleandertrack.core.traffic.TrafficConfig;
import org.oleandertrack.http.InboundHandler;
import org.oleandertrack.http.InboundRequest;
import org.oleandertrack.http.ResponseWriter;

/** Takes the requests of callers. Thread-safe. */
public final class CallService implements InboundHandler {

    // A process without a configuration usually gets one within a second of its start.
    private static final long NO_CONFIG_RETRY_MILLIS = 500;
    // The caller's next connection goes to another host.
    private static final long STOPPING_RETRY_MILLIS = 20;

    private final CallContext mContext;
    private final AtomicReference<Optional<Routing>> mRouting =
            new AtomicReference<>(Optional.empty());
    private volatile boolean mRefusing;

    /** Creates a service without a configuration. */
    public CallService(CallContext context) {
        mContext = context;
    }

    /** Puts a configuration in force, unless a newer one already is. Returns whether it did. */
    public boolean configure(TrafficConfig config) {
        Routing routing = new Routing(config, new RouteTable(config.routes()));
        Optional<Routing> before =
                mRouting.getAndUpdate(
                        current ->
                                current.isPresent()
                                                && current.get().config().version()
                                                        >= config.version()
                                        ? current
                                        : Optional.of(routing));
        return before.isEmpty() || before.get().config().version() < config.version();
    }

    /** Returns the configuration in force. */
    public Optional<TrafficConfig> config() {
        return mRouting.get().map(Routing::config);
    }

    /** From now on every call is refused, because the process is about to end. */
    public void refuseNew() {
        mRefusing = true;
    }

    @Override
    public void handle(InboundRequest request, ResponseWriter writer) {
        CallFacts facts;
        try {
            facts = mContext.dialect().readCall(request.head().headers());
        } catch (ResultException e) {
            refuse(request, writer, e, "");
            return;
        }
        if (mRefusing) {
            refuse(
                    request,
                    writer,
                    new ResultException(
                            ResultCode.SHUTTING_DOWN,
                            Execution.NOT_RUN,
                            "this host is stopping",
                            STOPPING_RETRY_MILLIS),
                    facts.requestId());
            return;
        }
        Optional<Routing> routing = mRouting.get();
        if (routing.isEmpty()) {
            refuse(
                    request,
                    writer,
                    new ResultException(
                            ResultCode.CONFIGURATION_NOT_CURRENT,
                            Execution.NOT_RUN,
                            "no configuration is known yet",
                            NO_CONFIG_RETRY_MILLIS),
                    facts.requestId());
            return;
        }
        String host = request.head().headers().get(HttpHeaderNames.HOST, "");
        Optional<Route> route = routing.get().table().find(host, request.head().uri());
        if (route.isEmpty()) {
            refuse(
                    request,
                    writer,
                    new ResultException(
                            ResultCode.UNKNOWN_PATH,
                            "no route for host "
                                    + host
                                    + " and path "
                                    + request.head().uri()
                                    + " in configuration "
                                    + routing.get().config().version()),
                    facts.requestId());
            return;
        }
        new Call(mContext, routing.get().config(), route.get(), facts, request, writer).start();
    }

    private void refuse(
            InboundRequest request,
            ResponseWriter writer,
            ResultException failure,
            String requestId) {
        mContext.metrics().decided("refusal", failure.code().name());
        mContext.log()
                .info("refused")
                .text("request", requestId)
                .text("path", request.head().uri())
                .text("result", failure.code().name())
                .text("reason", failure.getMessage())
                .write();
        writer.respond(mContext.answers().failure(failure, requestId));
    }

    /** A configuration with its lookup table. */
    private record Routing(TrafficConfig config, RouteTable table) {}
}
