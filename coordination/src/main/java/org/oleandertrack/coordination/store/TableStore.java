package org.oleandertrack.coordination.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's transactional table service. Futures fail with {@link StoreException}. Thread
 * safe.
 */
public interface TableStore {

    /** Reads one row. */
    CompletableFuture<Optional<Row>> get(String key);

    /**
     * Reads rows in key order.
     *
     * @param prefix prefix of the keys
     * @param afterKey the first key returned is greater than this one; empty to start
     * @param limit largest number of rows returned
     */
    CompletableFuture<List<Row>> scan(String prefix, String afterKey, int limit);

    /**
     * Applies writes in one transaction. Each write has its own condition, and a failed condition
     * does not affect the other writes. When the future fails with an unknown outcome, the caller
     * must read the rows back before it writes again.
     *
     * @return outcomes in the order of the writes
     */
    CompletableFuture<List<WriteOutcome>> write(List<ConditionalWrite> writes);
}
