package org.oleandertrack.coordination.store;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.oleandertrack.core.result.Execution;

/** Reads the failures of store futures. */
public final class StoreFailures {

    private StoreFailures() {}

    /**
     * Returns whether the failed request may have taken effect. A failure that is not a {@link
     * StoreException} counts as unknown.
     */
    public static Execution executionOf(Throwable failure) {
        Throwable cause = unwrap(failure);
        return cause instanceof StoreException store ? store.execution() : Execution.UNKNOWN;
    }

    /** Returns the failure as a store exception, which it usually is. */
    public static StoreException asStoreException(Throwable failure) {
        Throwable cause = unwrap(failure);
        if (cause instanceof StoreException store) {
            return store;
        }
        return new StoreException(Execution.UNKNOWN, "store request failed: " + cause, cause);
    }

    /**
     * Returns whether a failure is the store's, and not a malformed row or a fault of this code.
     */
    public static boolean isStoreFailure(Throwable failure) {
        return unwrap(failure) instanceof StoreException;
    }

    /** Returns a read whose failure says that the operation that needed it was not run. */
    public static <T> CompletableFuture<T> asNotRun(CompletableFuture<T> read) {
        return read.exceptionallyCompose(
                failure ->
                        CompletableFuture.failedFuture(
                                new StoreException(
                                        Execution.NOT_RUN,
                                        "store read failed: " + unwrap(failure).getMessage(),
                                        unwrap(failure))));
    }

    private static Throwable unwrap(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause;
    }
}
