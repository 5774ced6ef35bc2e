package org.oleandertrack.server.entry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.oleandertrack.coordination.store.StoreException;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/**
 * Waits for store operations that precede the dispatch of a call, so that their failure means that
 * the call was not run.
 */
final class StoreFutures {

    private static final long RETRY_AFTER_MILLIS = 1_000;

    /** Limits how long a call waits for the store before the caller learns of an outage. */
    private static final long MAX_WAIT_NANOS = 3_000_000_000L;

    private StoreFutures() {}

    /** Returns the deadline of a store operation that precedes the dispatch of a call. */
    static long deadlineNanos(long nowNanos, long callDeadlineNanos) {
        return Math.min(callDeadlineNanos, nowNanos + MAX_WAIT_NANOS);
    }

    /**
     * Waits for the result of a store operation.
     *
     * @throws ResultException with {@code STORE_UNAVAILABLE} and execution {@code NOT_RUN} if the
     *     operation fails
     */
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
