package org.oleandertrack.coordination.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.core.result.Execution;

/**
 * Keeps versioned rows in one part of a table of the platform. The platform applies a transaction
 * only if all its conditions hold. If some do not hold, their writes end with a conflict, and the
 * other writes are sent again in a new transaction. Thread-safe.
 */
public final class RowTableStore implements TableStore {

    // Each write has a condition, which is an entry of its own.
    private static final int MAX_TRANSACTION_WRITES = StoreCallLimits.MAX_TRANSACTION_ENTRIES / 2;
    // The platform returns at most 500 rows for one read.
    private static final int MAX_PAGE_ROWS = 500;
    // All rows are in this part.
    private static final String PART = "";

    private final RowStore mRows;
    private final String mTable;

    /** Creates a store that keeps its rows in a table. */
    public RowTableStore(RowStore rows, String table) {
        mRows = rows;
        mTable = table;
    }

    // Operations

    @Override
    public CompletableFuture<Optional<Row>> get(String key) {
        return mRows.read(mTable, PART, Optional.of(key), 1)
                .thenApply(
                        page ->
                                page.rows().stream()
                                        .filter(row -> row.id().key().equals(key))
                                        .findFirst()
                                        .map(RowTableStore::toRow));
    }

    @Override
    public CompletableFuture<List<Row>> scan(String prefix, String afterKey, int limit) {
        boolean startsAtAfterKey = afterKey.compareTo(prefix) >= 0;
        return scan(
                new Scan(prefix, afterKey, limit, new ArrayList<>()),
                startsAtAfterKey ? afterKey : prefix);
    }

    @Override
    public CompletableFuture<List<WriteOutcome>> write(List<ConditionalWrite> writes) {
        WriteRequest request = new WriteRequest(writes);
        return request.sendChunk(request.nextChunk());
    }

    // Helpers

    private record Scan(String prefix, String afterKey, int limit, List<Row> found) {}

    private CompletableFuture<List<Row>> scan(Scan scan, String fromKey) {
        // One row more, because the first row may be that of the key after which the scan starts.
        int pageRows = Math.min(MAX_PAGE_ROWS, scan.limit() - scan.found().size() + 1);
        return mRows.read(mTable, PART, Optional.of(fromKey), pageRows)
                .thenCompose(page -> addPage(scan, fromKey, page));
    }

    private CompletableFuture<List<Row>> addPage(Scan scan, String fromKey, RowPage page) {
        String lastKey = fromKey;
        for (StoredRow row : page.rows()) {
            lastKey = row.id().key();
            boolean isPastPrefix = !lastKey.startsWith(scan.prefix());
            if (isPastPrefix || scan.found().size() == scan.limit()) {
                return CompletableFuture.completedFuture(scan.found());
            }
            if (lastKey.compareTo(scan.afterKey()) > 0) {
                scan.found().add(toRow(row));
            }
        }
        if (!page.hasMore() || scan.found().size() == scan.limit()) {
            return CompletableFuture.completedFuture(scan.found());
        }
        Scan rest = new Scan(scan.prefix(), lastKey, scan.limit(), scan.found());
        return scan(rest, lastKey);
    }

    private static Row toRow(StoredRow row) {
        return new Row(row.id().key(), row.version(), row.value());
    }

    /**
     * One request with its writes, sent in one or more transactions. Used by one thread at a time.
     */
    private final class WriteRequest {
        private final List<ConditionalWrite> mWrites;
        private final WriteOutcome[] mOutcomes;
        private int mNextIndex;
        private boolean mSomeApplied;

        private WriteRequest(List<ConditionalWrite> writes) {
            mWrites = writes;
            mOutcomes = new WriteOutcome[writes.size()];
        }

        private List<Integer> nextChunk() {
            List<Integer> chunk = new ArrayList<>();
            long bytes = 0;
            while (mNextIndex < mWrites.size() && chunk.size() < MAX_TRANSACTION_WRITES) {
                bytes += StoreCallLimits.bytesOf(transaction(List.of(mNextIndex)));
                if (!chunk.isEmpty() && bytes > StoreCallLimits.MAX_TRANSACTION_BYTES) {
                    break;
                }
                chunk.add(mNextIndex++);
            }
            return chunk;
        }

        private CompletableFuture<List<WriteOutcome>> sendChunk(List<Integer> chunk) {
            if (chunk.isEmpty()) {
                return CompletableFuture.completedFuture(List.of(mOutcomes));
            }
            return mRows.apply(transaction(chunk))
                    .exceptionallyCompose(this::fail)
                    .thenCompose(result -> onResult(chunk, result));
        }

        private CompletableFuture<List<WriteOutcome>> onResult(
                List<Integer> chunk, TransactionResult result) {
            return switch (result) {
                case TransactionResult.Committed committed -> {
                    mSomeApplied = true;
                    for (int index : chunk) {
                        boolean deletion = mWrites.get(index).value().isEmpty();
                        mOutcomes[index] =
                                new WriteOutcome.Applied(deletion ? 0 : committed.version());
                    }
                    yield sendChunk(nextChunk());
                }
                case TransactionResult.Rejected rejected -> resendWithoutConflicts(chunk, rejected);
            };
        }

        private CompletableFuture<List<WriteOutcome>> resendWithoutConflicts(
                List<Integer> chunk, TransactionResult.Rejected rejected) {
            Map<String, Long> versions = new HashMap<>();
            rejected.current().forEach(row -> versions.put(row.id().key(), row.version()));
            List<Integer> rest = new ArrayList<>();
            for (int index : chunk) {
                ConditionalWrite write = mWrites.get(index);
                long version = versions.getOrDefault(write.key(), 0L);
                if (version == write.expectedVersion()) {
                    rest.add(index);
                } else {
                    mOutcomes[index] = new WriteOutcome.Conflict(version);
                }
            }
            if (rest.size() == chunk.size()) {
                return fail(new StoreException(
                                Execution.NOT_RUN,
                                "a transaction was rejected although its conditions hold",
                                null))
                        .thenCompose(result -> onResult(chunk, result));
            }
            return sendChunk(rest.isEmpty() ? nextChunk() : rest);
        }

        // If an earlier transaction of the request was applied, the outcome of the request is
        // unknown.
        private CompletableFuture<TransactionResult> fail(Throwable failure) {
            StoreException cause = StoreFailures.asStoreException(failure);
            return CompletableFuture.failedFuture(
                    mSomeApplied
                            ? new StoreException(
                                    Execution.UNKNOWN,
                                    "some rows were written: " + cause.getMessage(),
                                    cause)
                            : cause);
        }

        private RowTransaction transaction(List<Integer> chunk) {
            List<RowTransaction.Condition> conditions = new ArrayList<>();
            List<RowTransaction.Write> writes = new ArrayList<>();
            List<RowId> removals = new ArrayList<>();
            for (int index : chunk) {
                ConditionalWrite write = mWrites.get(index);
                RowId id = new RowId(mTable, PART, write.key());
                conditions.add(new RowTransaction.Condition(id, write.expectedVersion()));
                write.value()
                        .ifPresentOrElse(
                                value -> writes.add(new RowTransaction.Write(id, value)),
                                () -> removals.add(id));
            }
            return new RowTransaction(conditions, writes, removals);
        }
    }
}
