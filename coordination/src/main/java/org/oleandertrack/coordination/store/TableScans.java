package org.oleandertrack.coordination.store;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Reads all rows under a prefix, page by page. */
public final class TableScans {

    private TableScans() {}

    /**
     * Reads rows in key order until a page is not full. The pages are read at different moments.
     *
     * @param prefix prefix of the keys
     * @param afterKey only rows with greater keys are read; empty to read from the first row
     * @param pageRows largest number of rows read with one request
     */
    public static CompletableFuture<List<Row>> all(
            TableStore table, String prefix, String afterKey, int pageRows) {
        return next(table, prefix, afterKey, pageRows, new ArrayList<>());
    }

    private static CompletableFuture<List<Row>> next(
            TableStore table, String prefix, String afterKey, int pageRows, List<Row> rows) {
        return table.scan(prefix, afterKey, pageRows)
                .thenCompose(
                        page -> {
                            rows.addAll(page);
                            if (page.size() < pageRows) {
                                return CompletableFuture.completedFuture(rows);
                            }
                            return next(table, prefix, page.getLast().key(), pageRows, rows);
                        });
    }
}
