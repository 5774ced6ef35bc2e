package org.oleandertrack.coordination.store;

import java.util.concurrent.CompletableFuture;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.core.result.Execution;

/** Fails store requests that are not answered in time. Thread safe. */
final class TimeLimit {

    private final Scheduler mScheduler;
    private final long mTimeoutNanos;

    TimeLimit(Scheduler scheduler, long timeoutNanos) {
        mScheduler = scheduler;
        mTimeoutNanos = timeoutNanos;
    }

    /**
     * Returns a future that completes like the reply, but fails with an unknown outcome if the
     * reply has not completed within the time limit.
     *
     * @param what description of the request for the exception message
     */
    <T> CompletableFuture<T> apply(CompletableFuture<T> reply, String what) {
        CompletableFuture<T> limited = new CompletableFuture<>();
        Scheduler.Timer timer =
                mScheduler.schedule(
                        mTimeoutNanos,
                        () ->
                                limited.completeExceptionally(
                                        new StoreException(
                                                Execution.UNKNOWN,
                                                what + " not answered in time",
                                                null)));
        var _ =
                reply.whenComplete(
                        (value, failure) -> {
                            timer.cancel();
                            if (failure != null) {
                                limited.completeExceptionally(
                                        StoreFailures.asStoreException(failure));
                            } else {
                                limited.complete(value);
                            }
                        });
        return limited;
    }
}
