package org.oleandertrack.gateway.peer;

import java.util.List;
import org.oleandertrack.coordination.store.RowChange;
import org.oleandertrack.coordination.store.RowChanges;
import org.oleandertrack.coordination.store.RowId;
import org.oleandertrack.coordination.store.StoredRow;
import org.oleandertrack.coordination.store.TransactionResult;

/** Bodies of the calls between peers, as JSON. */
final class PeerMessages {

    static final String READ = "/peer/read";
    static final String APPLY = "/peer/apply";
    static final String CHANGES = "/peer/changes";

    static final String TAKE_ALLOWANCE = "/peer/allowance-take";
    static final String RETURN_ALLOWANCE = "/peer/allowance-return";

    private PeerMessages() {}

    /** Takes tokens of a program's outage allowance. */
    record TakeAllowance(String program, long budgetTokens, long maxTokens) {}

    /** Answer: whether the tokens were taken. */
    record Taken(boolean taken) {}

    /** Gives tokens of a program's outage allowance back. */
    record ReturnAllowance(String program, long tokens) {}

    /** Asks for rows; an empty first key starts at the beginning. */
    record Read(String table, String part, String fromKey, int limit) {}

    /** Asks for changes. */
    record AwaitChanges(String table, long afterVersion, long waitMillis) {}

    /** Answer to a transaction: the new version, or the rows that did not meet its conditions. */
    record Applied(boolean committed, long version, List<StoredRow> current) {

        static Applied of(TransactionResult result) {
            return switch (result) {
                case TransactionResult.Committed committed ->
                        new Applied(true, committed.version(), List.of());
                case TransactionResult.Rejected rejected ->
                        new Applied(false, 0, rejected.current());
            };
        }

        TransactionResult toResult() {
            return committed
                    ? new TransactionResult.Committed(version)
                    : new TransactionResult.Rejected(current);
        }
    }

    /** One change: the row written, or the id of a row that was removed; the other is null. */
    record Change(StoredRow written, RowId removed) {

        static Change of(RowChange change) {
            return switch (change) {
                case RowChange.Written write -> new Change(write.row(), null);
                case RowChange.Removed removal -> new Change(null, removal.id());
            };
        }

        RowChange toChange() {
            return written != null
                    ? new RowChange.Written(written)
                    : new RowChange.Removed(removed);
        }
    }

    /** Answer to a wait for changes. */
    record Changes(boolean historyLost, List<Change> changes, long storeVersion) {

        static Changes of(RowChanges answer) {
            return switch (answer) {
                case RowChanges.HistoryLost lost -> new Changes(true, List.of(), 0);
                case RowChanges.Changed changed ->
                        new Changes(
                                false,
                                changed.changes().stream().map(Change::of).toList(),
                                changed.storeVersion());
            };
        }

        RowChanges toAnswer() {
            return historyLost
                    ? new RowChanges.HistoryLost()
                    : new RowChanges.Changed(
                            changes.stream().map(Change::toChange).toList(), storeVersion);
        }
    }
}
