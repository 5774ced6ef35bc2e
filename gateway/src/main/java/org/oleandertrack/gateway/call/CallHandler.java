package org.oleandertrack.gateway.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicReference;
import org.oleandertrack.core.organisation.Organisation;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.core.traffic.Route;
import org.oleandertrack.core.traffic.RouteTable;
import org.oleandertrack.core.traffic.TrafficConfig;
import org.oleandertrack.http.InboundHandler;
import org.oleandertrack.http.InboundRequest;
import org.oleandertrack.http.ResponseWriter;
import org.oleandertrack.telemetry.logging.EventLog;

/** Routes the requests of callers and starts their calls. Thread-safe. */
public final class CallHandler implements InboundHandler {

    // A process usually receives its configuration within one second of its start.
    private static final long NO_CONFIG_RETRY_MILLIS = 500;

    private final CallContext mContext;
    private final CallerAdmission mAdmission;
    private final AtomicReference<Optional<Routing>> mRouting =
            new AtomicReference<>(Optional.empty());

    /** Creates a handler that refuses calls until {@link #configure} is called. */
    public CallHandler(CallContext context, CallerAdmission admission) {
        mContext = context;
        mAdmission = admission;
    }

    /**
     * Activates a configuration unless the active one has the same or a newer version.
     *
     * @return whether the configuration was activated
     */
    public boolean configure(TrafficConfig config) {
        Routing routing = new Routing(config, new RouteTable(config.routes()));
        Optional<Routing> previous =
                mRouting.getAndUpdate(
                        current ->
                                current.isPresent()
                                                && current.get().config().version()
                                                        >= config.version()
                                        ? current
                                        : Optional.of(routing));
        return previous.isEmpty() || previous.get().config().version() < config.version();
    }

    /** Returns the active configuration; empty until the first one is read. */
    public Optional<TrafficConfig> config() {
        return mRouting.get().map(Routing::config);
    }

    @Override
    public void handle(InboundRequest request, ResponseWriter writer) {
        CallMetadata metadata;
        try {
            metadata = mContext.headerCodec().decodeRequest(request.head().headers());
        } catch (ResultException e) {
            refuse(request, writer, e, "");
            return;
        }
        if (mContext.stopAdmission().isClosed()) {
            refuse(request, writer, CallFailures.shuttingDown(), metadata.requestId());
            return;
        }
        OptionalLong ageMillis = mAdmission.ageMillis();
        Optional<Routing> routing = mRouting.get();
        if (routing.isEmpty()) {
            refuse(
                    request,
                    writer,
                    new ResultException(
                            ResultCode.CONFIGURATION_NOT_CURRENT,
                            Execution.NOT_RUN,
                            "this host has not read a configuration yet",
                            NO_CONFIG_RETRY_MILLIS),
                    metadata.requestId());
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
                    metadata.requestId());
            return;
        }
        CallerAdmission.Arrival arrival =
                new CallerAdmission.Arrival(
                        request, writer, metadata, routing.get().config(), route.get(), ageMillis);
        if (!mContext.stopAdmission().maySend(route.get(), arrival.remainingMillis())) {
            refuse(request, writer, CallFailures.shuttingDown(), metadata.requestId());
            return;
        }
        mAdmission.admit(arrival, result -> onAdmission(arrival, result));
    }

    private void onAdmission(CallerAdmission.Arrival arrival, CallerAdmission.Result result) {
        switch (result) {
            case CallerAdmission.Result.Admitted admitted ->
                    new Call(
                                    mContext,
                                    arrival.config(),
                                    admitted.route(),
                                    admitted.metadata(),
                                    admitted.caller(),
                                    arrival.request(),
                                    arrival.writer())
                            .start();
            case CallerAdmission.Result.Refused refused -> refuse(arrival, refused);
        }
    }

    private void refuse(CallerAdmission.Arrival arrival, CallerAdmission.Result.Refused refused) {
        ResultException failure = refused.failure();
        String requestId = arrival.metadata().requestId();
        mContext.metrics().recordDecision("refusal", failure.code().name());
        EventLog.Line line =
                mContext.log()
                        .info("caller refused")
                        .text("request", requestId)
                        .text("route", arrival.route().name())
                        .text(
                                "organisation",
                                refused.organisation().map(Organisation::name).orElse(""))
                        .text("result", failure.code().name())
                        .text("reason", failure.getMessage())
                        .number("retryAfterMs", failure.retryAfterMillis().orElse(0L))
                        .number("configVersion", arrival.config().version());
        arrival.ageMillis().ifPresent(millis -> line.number("ageMs", millis));
        line.write();
        arrival.writer().respond(mContext.gatewayResponses().makeErrorResponse(failure, requestId));
    }

    private void refuse(
            InboundRequest request,
            ResponseWriter writer,
            ResultException failure,
            String requestId) {
        mContext.metrics().recordDecision("refusal", failure.code().name());
        mContext.log()
                .info("refused")
                .text("request", requestId)
                .text("path", request.head().uri())
                .text("result", failure.code().name())
                .text("reason", failure.getMessage())
                .write();
        writer.respond(mContext.gatewayResponses().makeErrorResponse(failure, requestId));
    }

    /** A configuration and the route lookup table built from it. */
    private record Routing(TrafficConfig config, RouteTable table) {}
}
