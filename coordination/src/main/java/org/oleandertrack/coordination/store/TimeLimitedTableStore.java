package org.oleandertrack.coordination.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.core.result.Execution;

/**
 * Bounds the time of every request to a table store. Without a bound, one reply that never comes
 * would stop a service that waits for it. A write that exceeds the bound has an unknown outcome.
 * Thread safe.
 */
public final class TimeLimitedTableStore implements TableStore {

    private final TableStore mDelegate;
    private final Scheduler mScheduler;
    private final long mTimeoutNanos;

    /** Creates a bounded view of a store. */
    public TimeLimitedTableStore(TableStore delegate, Scheduler scheduler, long timeoutNanos) {
        mDelegate = delegate;
        mScheduler = scheduler;
        mTimeoutNanos = timeoutNanos;
    }

    @Override
    public CompletableFuture<Optional<Row>> get(String key) {
        return bound(mDelegate.get(key), "get of " + key);
    }

    @Override
    public CompletableFuture<List<Row>> scan(String prefix, String afterKey, int limit) {
        return bound(mDelegate.scan(prefix, afterKey, limit), "scan of " + prefix);
    }

    @Override
    public CompletableFuture<List<WriteOutcome>> write(List<ConditionalWrite> writes) {
        return bound(mDelegate.write(writes), "write of " + writes.size() + " rows");
    }

    private <T> CompletableFuture<T> bound(CompletableFuture<T> reply, String what) {
        CompletableFuture<T> bounded = new CompletableFuture<>();
        Scheduler.Timer timer =
                mScheduler.schedule(
                        mTimeoutNanos,
                        () ->
                                bounded.completeExceptionally(
                                        new StoreException(
                                                Execution.UNKNOWN,
                                                what + " not answered in time",
                                                null)));
        var _ =
                reply.whenComplete(
                        (value, failure) -> {
                            timer.cancel();
                            if (failure != null) {
                                bounded.completeExceptionally(
                                        StoreFailures.asStoreException(failure));
                            } else {
                                bounded.complete(value);
                            }
                        });
        return bounded;
    }
}
