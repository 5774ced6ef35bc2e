package org.oleandertrack.standins.service;

import com.sun.net.httpserver.Headers;
import java.io.IOException;
import java.util.Locale;
import org.oleandertrack.standins.http.ConnectionAbortException;
import org.oleandertrack.standins.http.Json;
import org.oleandertrack.standins.http.Request;
import org.oleandertrack.standins.http.RequestHandler;

/**
 * Accepts any call, counts it as executed, and responds with the body of the request. The method,
 * the path and some headers of the request are returned in headers whose names start with {@code
 * Echo-}. Thread-safe.
 */
public final class ServiceHandler implements RequestHandler {

    private final ServiceFaults mFaults;
    private final ExecutionCounter mExecutions = new ExecutionCounter();

    public ServiceHandler(long delayMillis) {
        mFaults = new ServiceFaults(delayMillis);
    }

    @Override
    public void handle(Request request) throws IOException {
        switch (request.route()) {
            case "GET /control/executions" ->
                    request.sendJson(200, mExecutions.toJson().put("held", mFaults.hangingCalls()));
            case "POST /control/faults" -> {
                mFaults.replace(request.json());
                request.sendJson(200, Json.object());
            }
            default -> execute(request);
        }
    }

    private void execute(Request request) throws IOException {
        mFaults.applyDelay();
        if (mFaults.consumeFailure()) {
            request.sendError(500, "a simulated fault fails the call before it is executed");
            return;
        }
        boolean closesAfterExecution = mFaults.consumeCloseAfterExecution();
        String idempotencyKey = request.header("Idempotency-Key").orElse("");
        int count = mExecutions.countExecution(idempotencyKey, request.method(), request.path());
        if (closesAfterExecution) {
            throw new ConnectionAbortException(
                    "a simulated fault closes the connection after the execution");
        }
        echo(request, count);
    }

    private static void echo(Request request, int executionCount) throws IOException {
        Headers responseHeaders = request.exchange().getResponseHeaders();
        responseHeaders.set("Echo-Method", request.method());
        responseHeaders.set("Echo-Path", request.rawPathAndQuery());
        responseHeaders.set("Echo-Execution-Count", Integer.toString(executionCount));
        request.exchange()
                .getRequestHeaders()
                .forEach(
                        (name, values) -> {
                            if (isEchoed(name)) {
                                responseHeaders.put("Echo-" + name, values);
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
