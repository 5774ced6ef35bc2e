package org.oleandertrack.server.entry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.oleandertrack.coordination.store.StoreException;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/** Waits for the store before anything was dispatched: a failure means that nothing was run. */
final class StoreCalls {

    private static final long RETRY_AFTER_MILLIS = 1_000;

    /** A caller that waits is told of an outage after this time at the latest. */
    private static final long MAX_WAIT_NANOS = 3_000_000_000L;

    private StoreCalls() {}

    /** Returns the end of the wait for the store before a dispatch. */
    static long deadlineNanos(long nowNanos, long callDeadlineNanos) {
        return Math.min(callDeadlineNanos, nowNanos + MAX_WAIT_NANOS);
    }

    /** Waits for an answer of the store; its failure refuses the call as not run. */
    static <T> T await(CompletableFuture<T> future) {
        try {
            return future.join();
        } catch (CompletionException e) {
            if (e.getCause() instanceof StoreException store) {
                throw new ResultException(
                        ResultCode.STORE_UNAVAILABLE,
                        Execution.NOT_RUN,
                        store.getMessage(),
                        RETRY_AFTER_MILLIS);
            }
            throw e;
        }
    }
}
