package org.oleandertrack.standins.service;

import com.sun.net.httpserver.Headers;
import java.io.IOException;
import java.util.Locale;
import org.oleandertrack.standins.http.ConnectionAbortException;
import org.oleandertrack.standins.http.Json;
import org.oleandertrack.standins.http.Request;
import org.oleandertrack.standins.http.RequestHandler;

/**
 * Executes any call by counting it, and answers with the body it got. Method, path and headers come
 * back as headers whose names start with {@code Echo-}. Thread-safe.
 */
public final class ServiceHandler implements RequestHandler {

    private final ServiceFaults mFaults;
    private final Executions mExecutions = new Executions();

    public ServiceHandler(long delayMillis) {
        mFaults = new ServiceFaults(delayMillis);
    }

    @Override
    public void handle(Request request) throws IOException {
        switch (request.route()) {
            case "GET /control/executions" ->
                    request.sendJson(200, mExecutions.toJson().put("held", mFaults.held()));
            case "POST /control/faults" -> {
                mFaults.replace(request.json());
                request.sendJson(200, Json.object());
            }
            default -> execute(request);
        }
    }

    private void execute(Request request) throws IOException {
        mFaults.delay();
        if (mFaults.takeFailure()) {
            request.sendError(500, "the simulated service fails without executing");
            return;
        }
        boolean close = mFaults.takeCloseAfterExecution();
        String idempotencyKey = request.header("Idempotency-Key").orElse("");
        int count = mExecutions.add(idempotencyKey, request.method(), request.path());
        if (close) {
            throw new ConnectionAbortException("closed after the execution on purpose");
        }
        echo(request, count);
    }

    private static void echo(Request request, int executionCount) throws IOException {
        Headers answer = request.exchange().getResponseHeaders();
        answer.set("Echo-Method", request.method());
        answer.set("Echo-Path", request.rawTarget());
        answer.set("Echo-Execution-Count", Integer.toString(executionCount));
        request.exchange()
                .getRequestHeaders()
                .forEach(
                        (name, values) -> {
                            if (isEchoed(name)) {
                                answer.put("Echo-" + name, values);
                            }
                        });
        request.send(200, request.header("Content-Type").orElse(""), request.body());
    }

    private static boolean isEchoed(String headerName) {
        String name = headerName.toLowerCase(Locale.ROOT);
        return name.startsWith("x-")
                || name.startsWith("oleandertrack-")
                || name.equals("idempotency-key")
                || name.equals("authorization")
                || name.equals("content-type");
    }
}
