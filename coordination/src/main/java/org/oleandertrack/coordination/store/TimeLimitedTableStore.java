package org.oleandertrack.coordination.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.coordination.schedule.Scheduler;

/**
 * Limits the time of every request to a table store. Without a limit, a caller would wait for ever
 * if a request is never answered. A write that exceeds the limit has an unknown outcome. Thread
 * safe.
 */
public final class TimeLimitedTableStore implements TableStore {

    private final TableStore mDelegate;
    private final TimeLimit mLimit;

    /** Creates a store that passes requests on to another store and limits their time. */
    public TimeLimitedTableStore(TableStore delegate, Scheduler scheduler, long timeoutNanos) {
        mDelegate = delegate;
        mLimit = new TimeLimit(scheduler, timeoutNanos);
    }

    @Override
    public CompletableFuture<Optional<Row>> get(String key) {
        return mLimit.apply(mDelegate.get(key), "get of " + key);
    }

    @Override
    public CompletableFuture<List<Row>> scan(String prefix, String afterKey, int limit) {
        return mLimit.apply(mDelegate.scan(prefix, afterKey, limit), "scan of " + prefix);
    }

    @Override
    public CompletableFuture<List<WriteOutcome>> write(List<ConditionalWrite> writes) {
        return mLimit.apply(mDelegate.write(writes), "write of " + writes.size() + " rows");
    }
}
