package org.oleandertrack.coordination.store;

import java.util.List;

/** What became of a transaction. */
public sealed interface TransactionResult {

    /**
     * The transaction was applied.
     *
     * @param version new version of all rows written
     */
    record Committed(long version) implements TransactionResult {}

    /**
     * A condition did not hold, and nothing was changed.
     *
     * @param current present rows among those with a condition; absent rows are missing
     */
    record Rejected(List<StoredRow> current) implements TransactionResult {}
}
