package org.oleandertrack.coordination.store;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.oleandertrack.core.result.Execution;

/** Interprets the exceptions with which futures of a store fail. */
public final class StoreFailures {

    private StoreFailures() {}

    /**
     * Returns what is known about the execution of a failed request: {@code UNKNOWN} for a failure
     * that is not a {@link StoreException}.
     */
    public static Execution executionOf(Throwable failure) {
        Throwable cause = unwrap(failure);
        return cause instanceof StoreException store ? store.execution() : Execution.UNKNOWN;
    }

    /** Returns the failure itself if it is a store exception, otherwise one that wraps it. */
    public static StoreException asStoreException(Throwable failure) {
        Throwable cause = unwrap(failure);
        if (cause instanceof StoreException store) {
            return store;
        }
        return new StoreException(Execution.UNKNOWN, "store request failed: " + cause, cause);
    }

    /**
     * Returns whether the failure is that of a store request, and not that of a malformed row or of
     * a fault of this code.
     */
    public static boolean isStoreFailure(Throwable failure) {
        return unwrap(failure) instanceof StoreException;
    }

    /**
     * Returns whether a request failed only because the store takes no more requests at this rate,
     * so that other hosts would be refused as well.
     */
    public static boolean isOverRate(Throwable failure) {
        return unwrap(failure) instanceof StoreException store && store.isOverRate();
    }

    /** Returns whether a request was rejected and would be rejected again if it were repeated. */
    public static boolean isRejected(Throwable failure) {
        return unwrap(failure) instanceof StoreException store && store.isRejected();
    }

    /**
     * Returns a future of the same read that fails with {@link Execution#NOT_RUN}, whatever the
     * failure of the read; a refusal for the rate stays one. For operations that begin with a read:
     * if it fails, they have no effect.
     */
    public static <T> CompletableFuture<T> failAsNotRun(CompletableFuture<T> read) {
        return read.exceptionallyCompose(
                failure ->
                        CompletableFuture.failedFuture(
                                isOverRate(failure)
                                        ? asStoreException(failure)
                                        : new StoreException(
                                                Execution.NOT_RUN,
                                                "store read failed: "
                                                        + unwrap(failure).getMessage(),
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
