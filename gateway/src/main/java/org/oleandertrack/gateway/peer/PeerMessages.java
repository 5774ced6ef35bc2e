package org.oleandertrack.gateway.peer;

import java.util.List;
import org.oleandertrack.coordination.store.RowChange;
import org.oleandertrack.coordination.store.RowChanges;
import org.oleandertrack.coordination.store.RowId;
import org.oleandertrack.coordination.store.StoredRow;
import org.oleandertrack.coordination.store.TransactionResult;

/** Paths of the calls between peers, and their bodies, which are encoded as JSON. */
final class PeerMessages {

    static final String READ_PATH = "/peer/read";
    static final String APPLY_PATH = "/peer/apply";
    static final String CHANGES_PATH = "/peer/changes";

    static final String TAKE_ALLOWANCE_PATH = "/peer/allowance-take";
    static final String RETURN_ALLOWANCE_PATH = "/peer/allowance-return";

    private PeerMessages() {}

    /** Request to take tokens of a program's outage allowance. */
    record TakeAllowance(String program, long budgetTokens, long maxTokens) {}

    /**
     * Response to a request to take or give back tokens.
     *
     * @param taken whether tokens were taken; false in each response to a {@link ReturnAllowance}
     */
    record AllowanceResult(boolean taken) {}

    /** Request to give back tokens of a program's outage allowance. */
    record ReturnAllowance(String program, long tokens) {}

    /** Request to read rows of a part; an empty {@code fromKey} starts at its first row. */
    record Read(String table, String part, String fromKey, int limit) {}

    /** Request to wait for changes of a table. */
    record AwaitChanges(String table, long afterVersion, long waitMillis) {}

    /** Response to a transaction: the new version, or the rows that violated its conditions. */
    record Applied(boolean committed, long version, List<StoredRow> current) {

        static Applied of(TransactionResult result) {
            return switch (result) {
                case TransactionResult.Committed committed ->
                        new Applied(true, committed.version(), List.of());
                case TransactionResult.Rejected rejected ->
                        new Applied(false, 0, rejected.current());
            };
        }

        TransactionResult toTransactionResult() {
            return committed
                    ? new TransactionResult.Committed(version)
                    : new TransactionResult.Rejected(current);
        }
    }

    /** A change: either a written row or the id of a removed row. The other component is null. */
    record Change(StoredRow written, RowId removed) {

        static Change of(RowChange change) {
            return switch (change) {
                case RowChange.Written write -> new Change(write.row(), null);
                case RowChange.Removed removal -> new Change(null, removal.id());
            };
        }

        RowChange toRowChange() {
            return written != null
                    ? new RowChange.Written(written)
                    : new RowChange.Removed(removed);
        }
    }

    /** Response to a request to wait for changes. */
    record Changes(boolean historyLost, List<Change> changes, long storeVersion) {

        static Changes of(RowChanges changes) {
            return switch (changes) {
                case RowChanges.HistoryLost lost -> new Changes(true, List.of(), 0);
                case RowChanges.Changed changed ->
                        new Changes(
                                false,
                                changed.changes().stream().map(Change::of).toList(),
                                changed.storeVersion());
            };
        }

        RowChanges toRowChanges() {
            return historyLost
                    ? new RowChanges.HistoryLost()
                    : new RowChanges.Changed(
                            changes.stream().map(Change::toRowChange).toList(), storeVersion);
        }
    }
}
