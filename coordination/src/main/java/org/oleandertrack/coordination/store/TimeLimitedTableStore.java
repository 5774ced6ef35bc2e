package org.oleandertrack.coordination.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.coordination.schedule.Scheduler;

/**
 * Bounds the time of every request to a table store. Without a bound, one reply that never comes
 * would stop a service that waits for it. A write that exceeds the bound has an unknown outcome.
 * Thread safe.
 */
public final class TimeLimitedTableStore implements TableStore {

    private final TableStore mDelegate;
    private final TimeLimit mLimit;

    /** Creates a bounded view of a store. */
    public TimeLimitedTableStore(TableStore delegate, Scheduler scheduler, long timeoutNanos) {
        mDelegate = delegate;
        mLimit = new TimeLimit(scheduler, timeoutNanos);
    }

    @Override
    public CompletableFuture<Optional<Row>> get(String key) {
        return mLimit.bound(mDelegate.get(key), "get of " + key);
    }

    @Override
    public CompletableFuture<List<Row>> scan(String prefix, String afterKey, int limit) {
        return mLimit.bound(mDelegate.scan(prefix, afterKey, limit), "scan of " + prefix);
    }

    @Override
    public CompletableFuture<List<WriteOutcome>> write(List<ConditionalWrite> writes) {
        return mLimit.bound(mDelegate.write(writes), "write of " + writes.size() + " rows");
    }
}
