package org.oleandertrack.coordination.store;

import java.util.List;

/** Result of a transaction that the store answered. */
public sealed interface TransactionResult {

    /**
     * The transaction was applied.
     *
     * @param version new version of all rows written
     */
    record Committed(long version) implements TransactionResult {}

    /**
     * At least one condition did not hold, and nothing was changed.
     *
     * @param current current rows for all conditions of the transaction, without absent rows
     */
    record Rejected(List<StoredRow> current) implements TransactionResult {}
}
