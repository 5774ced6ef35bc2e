package org.oleandertrack.standins.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.standins.http.ConnectionAbortException;
import org.oleandertrack.standins.http.Request;

/** Executes requests and applies the currently simulated faults to them. Thread-safe. */
final class FaultInjector {

    /** A response, which is not sent if a fault drops it. */
    @FunctionalInterface
    interface Response {
        void send() throws IOException;
    }

    /** Executes a request and returns its response. */
    @FunctionalInterface
    interface Execution {
        Response run();
    }

    private final PlatformFaults mFaults;
    private final PlatformStats mStats;

    FaultInjector(PlatformFaults faults, PlatformStats stats) {
        mFaults = faults;
        mStats = stats;
    }

    PlatformStats stats() {
        return mStats;
    }

    ObjectNode toJson() {
        return mStats.toJson().put("held", mFaults.hangingRequests());
    }

    void executeRead(Request request, String service, String key, Execution execution)
            throws IOException {
        execute(request, service, List.of(key), false, execution);
    }

    void executeWrite(Request request, String service, List<String> keys, Execution execution)
            throws IOException {
        execute(request, service, keys, true, execution);
    }

    private void execute(
            Request request,
            String service,
            List<String> keys,
            boolean isWrite,
            Execution execution)
            throws IOException {
        PlatformFaults.Action action;
        try {
            action = mFaults.applyBeforeExecution(service, keys, isWrite);
        } catch (ConnectionAbortException e) {
            mStats.mRequestsFailed.increment();
            throw e;
        }
        switch (action) {
            case EXECUTE -> execution.run().send();
            case EXECUTE_AND_DROP_RESPONSE -> {
                execution.run();
                dropResponse();
            }
            case EXECUTE_DEFERRED -> {
                CompletableFuture.delayedExecutor(mFaults.deferMillis(), TimeUnit.MILLISECONDS)
                        .execute(execution::run);
                dropResponse();
            }
            case REFUSE -> {
                mStats.mRequestsFailed.increment();
                request.sendError(503, "a simulated fault refuses the request");
            }
            case LIMIT_RATE -> {
                mStats.mRequestsFailed.increment();
                request.sendError(429, "a simulated fault limits the request rate");
            }
        }
    }

    private void dropResponse() throws ConnectionAbortException {
        mStats.mResponsesDropped.increment();
        throw new ConnectionAbortException("a simulated fault drops the response");
    }
}
