package org.oleandertrack.coordination.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Makes calls to a store whose transactions are bounded in bytes, and rejects one that the store
 * would refuse for its size. Thread-safe.
 */
public final class SizedRowStore implements RowStore {

    private final RowStore mStore;

    /** Creates a store that makes its calls through the given one. */
    public SizedRowStore(RowStore store) {
        mStore = store;
    }

    @Override
    public CompletableFuture<RowPage> read(
            String table, String part, Optional<String> fromKey, int limit) {
        return mStore.read(table, part, fromKey, limit);
    }

    @Override
    public CompletableFuture<TransactionResult> apply(RowTransaction transaction) {
        try {
            StoreCallLimits.check(transaction);
        } catch (StoreException e) {
            return CompletableFuture.failedFuture(e);
        }
        return mStore.apply(transaction);
    }

    @Override
    public CompletableFuture<RowChanges> awaitChanges(
            String table, long afterVersion, long waitMillis) {
        return mStore.awaitChanges(table, afterVersion, waitMillis);
    }
}
