package org.oleandertrack.coordination.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's store of rows, in tables that are divided into parts. Futures fail with {@link
 * StoreException}. Thread-safe.
 */
public interface RowStore {

    /**
     * Reads rows of a part in ascending order of their keys.
     *
     * @param fromKey smallest key to read; empty to start at the beginning
     * @param limit largest number of rows
     */
    CompletableFuture<RowPage> read(String table, String part, Optional<String> fromKey, int limit);

    /** Applies a transaction. One that fails with an unknown outcome may take effect later. */
    CompletableFuture<TransactionResult> apply(RowTransaction transaction);

    /**
     * Waits for changes in any part of a table.
     *
     * @param afterVersion store version up to which the caller knows all changes
     * @param waitMillis longest time to wait for a change
     */
    CompletableFuture<RowChanges> awaitChanges(String table, long afterVersion, long waitMillis);
}
