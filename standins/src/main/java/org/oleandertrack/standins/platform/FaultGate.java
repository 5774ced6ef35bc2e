package org.oleandertrack.standins.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.standins.http.ConnectionAbortException;
import org.oleandertrack.standins.http.Request;

/** Executes requests under the faults that are simulated now. Thread-safe. */
final class FaultGate {

    /** An answer that is sent unless the fault says that it is lost. */
    @FunctionalInterface
    interface Reply {
        void send() throws IOException;
    }

    /** Executes a request and returns its answer. */
    @FunctionalInterface
    interface Execution {
        Reply run();
    }

    private final PlatformFaults mFaults;
    private final PlatformStats mStats;

    FaultGate(PlatformFaults faults, PlatformStats stats) {
        mFaults = faults;
        mStats = stats;
    }

    PlatformStats stats() {
        return mStats;
    }

    ObjectNode toJson() {
        return mStats.toJson().put("held", mFaults.held());
    }

    void read(Request request, String service, String key, Execution execution) throws IOException {
        execute(request, service, List.of(key), false, execution);
    }

    void write(Request request, String service, List<String> keys, Execution execution)
            throws IOException {
        execute(request, service, keys, true, execution);
    }

    private void execute(
            Request request, String service, List<String> keys, boolean write, Execution execution)
            throws IOException {
        PlatformFaults.Verdict verdict;
        try {
            verdict = mFaults.beforeExecution(service, keys, write);
        } catch (ConnectionAbortException e) {
            mStats.mRequestsFailed.increment();
            throw e;
        }
        switch (verdict) {
            case EXECUTE -> execution.run().send();
            case EXECUTE_AND_LOSE_REPLY -> {
                execution.run();
                loseReply();
            }
            case EXECUTE_LATE -> {
                CompletableFuture.delayedExecutor(mFaults.lateMillis(), TimeUnit.MILLISECONDS)
                        .execute(execution::run);
                loseReply();
            }
            case REFUSE -> {
                mStats.mRequestsFailed.increment();
                request.sendError(503, "the simulated service refuses the request");
            }
            case LIMIT -> {
                mStats.mRequestsFailed.increment();
                request.sendError(429, "the simulated rate of calls is exceeded");
            }
        }
    }

    private void loseReply() throws ConnectionAbortException {
        mStats.mRepliesLost.increment();
        throw new ConnectionAbortException("the answer is lost on purpose");
    }
}
