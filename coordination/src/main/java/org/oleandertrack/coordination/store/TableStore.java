package org.oleandertrack.coordination.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A table of versioned rows with conditional writes. Futures fail with {@link StoreException}.
 * Thread safe.
 */
public interface TableStore {

    /** Reads one row; empty if it is absent. */
    CompletableFuture<Optional<Row>> get(String key);

    /**
     * Reads rows in key order.
     *
     * @param prefix prefix of the keys
     * @param afterKey only rows with greater keys are read; empty to read from the first row
     * @param limit largest number of rows returned
     */
    CompletableFuture<List<Row>> scan(String prefix, String afterKey, int limit);

    /**
     * Applies writes in one request. Each write has its own condition, and a failed condition does
     * not affect the other writes. If the future fails with an unknown outcome, the caller must
     * read the rows before it writes them again.
     *
     * @return outcomes in the order of the writes
     */
    CompletableFuture<List<WriteOutcome>> write(List<ConditionalWrite> writes);
}
