package org.oleandertrack.coordination.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Makes calls to a store whose answers and transactions are bounded in bytes: reads as many pages
 * as it takes to return the requested number of rows, and rejects a transaction that the store
 * would refuse for its size. Rows of different pages are read at different moments. Thread-safe.
 */
public final class SizedRowStore implements RowStore {

    // A key followed by this character is the smallest key after it.
    private static final char SUCCESSOR_SUFFIX = '\0';

    private final RowStore mStore;

    /** Creates a store that makes its calls through the given one. */
    public SizedRowStore(RowStore store) {
        mStore = store;
    }

    @Override
    public CompletableFuture<RowPage> read(
            String table, String part, Optional<String> fromKey, int limit) {
        return mStore.read(table, part, fromKey, limit)
                .thenCompose(first -> readRest(table, part, limit, first, List.of()));
    }

    @Override
    public CompletableFuture<TransactionResult> apply(RowTransaction transaction) {
        try {
            StoreCallLimits.check(transaction);
        } catch (StoreException e) {
            return CompletableFuture.failedFuture(e);
        }
        return mStore.apply(transaction);
    }

    @Override
    public CompletableFuture<RowChanges> awaitChanges(
            String table, long afterVersion, long waitMillis) {
        return mStore.awaitChanges(table, afterVersion, waitMillis);
    }

    // The version of the first page is returned, so that changes made since then are not missed.
    private CompletableFuture<RowPage> readRest(
            String table, String part, int limit, RowPage page, List<StoredRow> earlierRows) {
        List<StoredRow> rows = new ArrayList<>(earlierRows);
        rows.addAll(page.rows());
        boolean complete = !page.hasMore() || rows.size() >= limit || page.rows().isEmpty();
        if (complete) {
            return CompletableFuture.completedFuture(
                    new RowPage(List.copyOf(rows), page.hasMore(), page.storeVersion()));
        }
        String from = rows.getLast().id().key() + SUCCESSOR_SUFFIX;
        return mStore.read(table, part, Optional.of(from), limit - rows.size())
                .thenCompose(
                        next ->
                                readRest(
                                        table,
                                        part,
                                        limit,
                                        new RowPage(
                                                next.rows(), next.hasMore(), page.storeVersion()),
                                        rows));
    }
}
