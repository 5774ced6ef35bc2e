package org.oleandertrack.coordination.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's store of rows in tables with parts. Futures fail with {@link StoreException}.
 * Thread-safe.
 */
public interface RowStore {

    /**
     * Reads rows of a part.
     *
     * @param fromKey first key; empty to start at the beginning
     * @param limit largest number of rows
     */
    CompletableFuture<RowPage> read(String table, String part, Optional<String> fromKey, int limit);

    /** Applies a transaction. A failure of unknown outcome may take effect later. */
    CompletableFuture<TransactionResult> apply(RowTransaction transaction);

    /**
     * Waits for changes in any part of a table.
     *
     * @param afterVersion version of the last change known
     * @param waitMillis longest wait for a change
     */
    CompletableFuture<RowChanges> awaitChanges(String table, long afterVersion, long waitMillis);
}
