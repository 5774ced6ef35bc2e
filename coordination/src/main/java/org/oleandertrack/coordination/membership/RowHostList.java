package org.oleandertrack.coordination.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.coordination.store.RowJson;
import org.oleandertrack.coordination.store.RowPage;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.StoredRow;
import org.tinylog.Logger;

/** Reads the list of hosts from a table of the platform that has one row per host. Thread-safe. */
public final class RowHostList implements HostList {

    private static final String TABLE = "hosts";
    // All rows are in this part.
    private static final String PART = "";
    // The platform returns at most 500 rows for one read.
    private static final int MAX_PAGE_ROWS = 500;

    private final RowStore mRows;

    /** Creates a list that reads its table from a store. */
    public RowHostList(RowStore rows) {
        mRows = rows;
    }

    @Override
    public CompletableFuture<List<HostEntry>> list() {
        return read(Optional.empty(), new ArrayList<>());
    }

    private CompletableFuture<List<HostEntry>> read(
            Optional<String> afterKey, List<HostEntry> hosts) {
        return mRows.read(TABLE, PART, afterKey, MAX_PAGE_ROWS)
                .thenCompose(
                        page -> {
                            String lastKey = afterKey.orElse("");
                            for (StoredRow row : page.rows()) {
                                // Each page begins with the last row of the previous page.
                                if (!row.id().key().equals(lastKey)) {
                                    decode(row).ifPresent(hosts::add);
                                }
                            }
                            return page.hasMore()
                                    ? read(Optional.of(lastKeyOf(page)), hosts)
                                    : CompletableFuture.completedFuture(hosts);
                        });
    }

    private static String lastKeyOf(RowPage page) {
        return page.rows().getLast().id().key();
    }

    // A malformed row is skipped, so that it does not hide the other hosts.
    private static Optional<HostEntry> decode(StoredRow row) {
        try {
            return Optional.of(RowJson.decode(row.id().key(), row.value(), HostEntry.class));
        } catch (IllegalStateException e) {
            Logger.warn("malformed host row is skipped: {}", e.getMessage());
            return Optional.empty();
        }
    }
}
