package org.oleandertrack.gateway.peer;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import org.oleandertrack.coordination.store.RowChange;
import org.oleandertrack.coordination.store.RowChanges;
import org.oleandertrack.coordination.store.RowPage;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.RowTransaction;
import org.oleandertrack.coordination.store.StoredRow;
import org.oleandertrack.coordination.store.TransactionResult;

/** A store whose rows are changed before they are passed on, to remove secrets. Thread-safe. */
public final class FilteredRowStore implements RowStore {

    private final RowStore mStore;
    private final UnaryOperator<StoredRow> mFilter;

    /** Creates a store that applies a filter to each row that is read. */
    public FilteredRowStore(RowStore store, UnaryOperator<StoredRow> filter) {
        mStore = store;
        mFilter = filter;
    }

    @Override
    public CompletableFuture<RowPage> read(
            String table, String part, Optional<String> fromKey, int limit) {
        return mStore.read(table, part, fromKey, limit)
                .thenApply(
                        page ->
                                new RowPage(
                                        page.rows().stream().map(mFilter).toList(),
                                        page.hasMore(),
                                        page.storeVersion()));
    }

    @Override
    public CompletableFuture<TransactionResult> apply(RowTransaction transaction) {
        return mStore.apply(transaction);
    }

    @Override
    public CompletableFuture<RowChanges> awaitChanges(
            String table, long afterVersion, long waitMillis) {
        return mStore.awaitChanges(table, afterVersion, waitMillis).thenApply(this::filter);
    }

    private RowChanges filter(RowChanges changes) {
        return switch (changes) {
            case RowChanges.HistoryLost lost -> lost;
            case RowChanges.Changed changed ->
                    new RowChanges.Changed(
                            changed.changes().stream().map(this::filter).toList(),
                            changed.storeVersion());
        };
    }

    private RowChange filter(RowChange change) {
        return switch (change) {
            case RowChange.Written written -> new RowChange.Written(mFilter.apply(written.row()));
            case RowChange.Removed removed -> removed;
        };
    }
}
