package org.oleandertrack.coordination.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.coordination.schedule.Scheduler;

/**
 * Limits the time of every request to an object store. Without a limit, a put that is never
 * answered would forever count as one of the few batches that a group commit may have in flight.
 * Thread safe.
 */
public final class TimeLimitedObjectStore implements ObjectStore {

    private final ObjectStore mDelegate;
    private final TimeLimit mLimit;

    /** Creates a store that passes requests on to another store and limits their time. */
    public TimeLimitedObjectStore(ObjectStore delegate, Scheduler scheduler, long timeoutNanos) {
        mDelegate = delegate;
        mLimit = new TimeLimit(scheduler, timeoutNanos);
    }

    @Override
    public CompletableFuture<Void> put(String key, byte[] data) {
        return mLimit.apply(mDelegate.put(key, data), "put of " + key);
    }

    @Override
    public CompletableFuture<Optional<byte[]>> get(String key) {
        return mLimit.apply(mDelegate.get(key), "get of " + key);
    }

    @Override
    public CompletableFuture<Void> delete(String key) {
        return mLimit.apply(mDelegate.delete(key), "delete of " + key);
    }
}
