package org.oleandertrack.coordination.spending;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.coordination.store.RowChanges;
import org.oleandertrack.coordination.store.RowId;
import org.oleandertrack.coordination.store.RowPage;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.RowTransaction;
import org.oleandertrack.coordination.store.StoreException;
import org.oleandertrack.coordination.store.StoredRow;
import org.oleandertrack.coordination.store.TransactionResult;
import org.oleandertrack.core.result.Execution;

/** A store in memory that can refuse transactions, lose replies and apply transactions late. */
public final class FakeRowStore implements RowStore {

    /** How the store handles a transaction. */
    public enum Fate {
        /** The transaction is applied and answered. */
        ANSWERED,
        /** The transaction fails as not run. */
        REFUSED,
        /** The store does not accept the transaction, whenever it is made. */
        REJECTED,
        /** The transaction fails as not run, because the store is over its rate. */
        OVER_RATE,
        /** The transaction is applied, but its future fails with an unknown outcome. */
        ANSWER_LOST,
        /** The transaction is applied, and its future never completes. */
        UNANSWERED,
        /** The future never completes, and {@link #applyLate} applies the transaction. */
        UNANSWERED_LATE,
        /**
         * The future fails with an unknown outcome, and {@link #applyLate} applies the transaction.
         */
        LATE
    }

    private static final int CALL_BYTES = 1_000_000;
    private static final int PAGE_ROWS = 500;

    private final Map<String, StoredRow> mRows = new TreeMap<>();
    private final ArrayDeque<Fate> mFates = new ArrayDeque<>();
    private final List<RowTransaction> mLate = new ArrayList<>();
    private Set<String> mSilentParts = Set.of();
    private boolean mDown;
    private long mVersion;
    private int mTransactions;

    /** Adds fates for the next transactions, in order; those after them are answered. */
    public void setNextFates(Fate... fates) {
        mFates.addAll(List.of(fates));
    }

    /** Sets whether every call fails. */
    public void setDown(boolean down) {
        mDown = down;
    }

    /** Sets the parts for which no call is executed or answered. */
    public void setSilentParts(Set<String> parts) {
        mSilentParts = parts;
    }

    /** Applies the late transactions whose conditions still hold. */
    public void applyLate() {
        mLate.forEach(this::execute);
        mLate.clear();
    }

    /** Returns the number of transactions requested so far. */
    public int transactions() {
        return mTransactions;
    }

    /** Returns the rows of all parts of a table. */
    public List<StoredRow> rows(String table) {
        return mRows.values().stream().filter(row -> row.id().table().equals(table)).toList();
    }

    /** Returns the value of a row. */
    public Optional<String> value(String key) {
        return mRows.values().stream()
                .filter(row -> row.id().key().equals(key))
                .map(StoredRow::value)
                .findFirst();
    }

    @Override
    public CompletableFuture<RowPage> read(
            String table, String part, Optional<String> fromKey, int limit) {
        if (mDown) {
            return failed(Execution.UNKNOWN);
        }
        if (mSilentParts.contains(part)) {
            return new CompletableFuture<>();
        }
        List<StoredRow> rows =
                mRows.values().stream()
                        .filter(row -> row.id().table().equals(table))
                        .filter(row -> row.id().part().equals(part))
                        .filter(row -> row.id().key().compareTo(fromKey.orElse("")) >= 0)
                        .sorted(Comparator.comparing(row -> row.id().key()))
                        .toList();
        int pageRows = pageRows(rows, limit);
        return CompletableFuture.completedFuture(
                new RowPage(rows.subList(0, pageRows), pageRows < rows.size(), mVersion));
    }

    // A page holds at most 500 rows or 1 MB.
    private static int pageRows(List<StoredRow> rows, int limit) {
        long bytes = 0;
        int count = 0;
        for (StoredRow row : rows) {
            bytes += sentBytes(row.value());
            if (count > 0 && (bytes > CALL_BYTES || count == Math.min(limit, PAGE_ROWS))) {
                break;
            }
            count++;
        }
        return count;
    }

    // A call holds at most 100 entries and 1 MB, a value 65,536 bytes.
    private static boolean isTooLarge(RowTransaction transaction) {
        int entries =
                transaction.conditions().size()
                        + transaction.writes().size()
                        + transaction.removals().size();
        long bytes = transaction.writes().stream().mapToLong(w -> sentBytes(w.value())).sum();
        boolean largeValue =
                transaction.writes().stream()
                        .anyMatch(w -> w.value().getBytes(StandardCharsets.UTF_8).length > 65_536);
        return entries > 100 || bytes > CALL_BYTES || largeValue;
    }

    private static long sentBytes(String value) {
        return Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)).length();
    }

    @Override
    public CompletableFuture<TransactionResult> apply(RowTransaction transaction) {
        mTransactions++;
        if (mDown) {
            return failed(Execution.NOT_RUN);
        }
        if (isTooLarge(transaction)) {
            return CompletableFuture.failedFuture(StoreException.rejected("too large"));
        }
        if (transaction.writes().stream().anyMatch(w -> mSilentParts.contains(w.id().part()))) {
            return new CompletableFuture<>();
        }
        Fate fate = mFates.isEmpty() ? Fate.ANSWERED : mFates.poll();
        return switch (fate) {
            case ANSWERED -> CompletableFuture.completedFuture(execute(transaction));
            case REFUSED -> failed(Execution.NOT_RUN);
            case REJECTED -> CompletableFuture.failedFuture(StoreException.rejected("set to"));
            case OVER_RATE ->
                    CompletableFuture.failedFuture(
                            StoreException.overRate("the store is set to be over its rate", 0));
            case ANSWER_LOST -> {
                execute(transaction);
                yield failed(Execution.UNKNOWN);
            }
            case UNANSWERED -> {
                execute(transaction);
                yield new CompletableFuture<>();
            }
            case UNANSWERED_LATE -> {
                mLate.add(transaction);
                yield new CompletableFuture<>();
            }
            case LATE -> {
                mLate.add(transaction);
                yield failed(Execution.UNKNOWN);
            }
        };
    }

    @Override
    public CompletableFuture<RowChanges> awaitChanges(
            String table, long afterVersion, long waitMillis) {
        return failed(Execution.UNKNOWN);
    }

    private TransactionResult execute(RowTransaction transaction) {
        boolean holds =
                transaction.conditions().stream()
                        .allMatch(condition -> versionOf(condition.id()) == condition.version());
        if (!holds) {
            return new TransactionResult.Rejected(
                    transaction.conditions().stream()
                            .map(condition -> mRows.get(condition.id().toString()))
                            .filter(row -> row != null)
                            .toList());
        }
        mVersion++;
        transaction
                .writes()
                .forEach(
                        write ->
                                mRows.put(
                                        write.id().toString(),
                                        new StoredRow(write.id(), write.value(), mVersion)));
        transaction.removals().forEach(id -> mRows.remove(id.toString()));
        return new TransactionResult.Committed(mVersion);
    }

    private long versionOf(RowId id) {
        StoredRow row = mRows.get(id.toString());
        return row == null ? 0 : row.version();
    }

    private static <T> CompletableFuture<T> failed(Execution execution) {
        return CompletableFuture.failedFuture(
                new StoreException(execution, "the store is set to fail", null));
    }
}
