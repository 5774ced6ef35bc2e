package org.oleandertrack.coordination.pacing;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.oleandertrack.coordination.store.RowId;
import org.oleandertrack.coordination.store.RowTransaction;
import org.oleandertrack.coordination.store.StoreCallLimits;
import org.oleandertrack.coordination.store.TransactionResult;

/**
 * A write that waits for the store's rate.
 *
 * @param endNanos time until which it may be made
 * @param mayJoin whether it may be made in one transaction with others
 */
record QueuedWrite(
        RowTransaction transaction,
        WriteImportance importance,
        long endNanos,
        boolean mayJoin,
        CompletableFuture<TransactionResult> result) {

    /** A part of a table, whose transactions the store runs one after another. */
    record Part(String table, String part) {}

    /** Returns this write for a transaction of its own. */
    QueuedWrite alone() {
        return new QueuedWrite(transaction, importance, endNanos, false, result);
    }

    Part part() {
        RowId id = rowIds().findFirst().orElseThrow();
        return new Part(id.table(), id.part());
    }

    Set<RowId> rows() {
        return rowIds().collect(HashSet::new, Set::add, Set::addAll);
    }

    int entries() {
        return StoreCallLimits.entriesOf(transaction);
    }

    /** Returns the size of the transaction, in bytes as sent. */
    long bytes() {
        return StoreCallLimits.bytesOf(transaction);
    }

    private Stream<RowId> rowIds() {
        return Stream.of(
                        transaction.writes().stream().map(RowTransaction.Write::id),
                        transaction.removals().stream(),
                        transaction.conditions().stream().map(RowTransaction.Condition::id))
                .flatMap(ids -> ids);
    }

    /** Returns one transaction with the changes of all given writes. */
    static RowTransaction join(List<QueuedWrite> writes) {
        if (writes.size() == 1) {
            return writes.getFirst().transaction();
        }
        return new RowTransaction(
                writes.stream()
                        .flatMap(write -> write.transaction().conditions().stream())
                        .toList(),
                writes.stream().flatMap(write -> write.transaction().writes().stream()).toList(),
                writes.stream().flatMap(write -> write.transaction().removals().stream()).toList());
    }
}
