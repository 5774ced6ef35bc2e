package org.oleandertrack.coordination.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Reads whole parts of tables. */
public final class RowReads {

    private static final int PAGE_ROWS = 500;
    // A key followed by this character is the smallest key after it.
    private static final char SUCCESSOR_SUFFIX = '\0';

    private RowReads() {}

    /**
     * Reads all rows of a part, page by page. The pages are read at different moments, and the
     * returned version is that of the first page. A later {@link RowStore#awaitChanges} with this
     * version therefore reports every change made after the first page was read, even if a later
     * page already contains it.
     */
    public static CompletableFuture<RowPage> all(RowStore store, String table, String part) {
        return store.read(table, part, Optional.empty(), PAGE_ROWS)
                .thenCompose(first -> next(store, table, part, first, new ArrayList<>()));
    }

    private static CompletableFuture<RowPage> next(
            RowStore store, String table, String part, RowPage page, List<StoredRow> rows) {
        rows.addAll(page.rows());
        if (!page.hasMore()) {
            return CompletableFuture.completedFuture(new RowPage(rows, false, page.storeVersion()));
        }
        String from = page.rows().getLast().id().key() + SUCCESSOR_SUFFIX;
        return store.read(table, part, Optional.of(from), PAGE_ROWS)
                .thenCompose(
                        following ->
                                next(
                                        store,
                                        table,
                                        part,
                                        new RowPage(
                                                following.rows(),
                                                following.hasMore(),
                                                page.storeVersion()),
                                        rows));
    }
}
