package org.oleandertrack.gateway.host;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.coordination.store.RowChange;
import org.oleandertrack.coordination.store.RowChanges;
import org.oleandertrack.coordination.store.RowId;
import org.oleandertrack.coordination.store.RowPage;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.RowTransaction;
import org.oleandertrack.coordination.store.StoreException;
import org.oleandertrack.coordination.store.StoredRow;
import org.oleandertrack.coordination.store.TransactionResult;
import org.oleandertrack.core.result.Execution;

/** In-memory row store that reports changes and can simulate outages. */
final class MemoryRowStore implements RowStore {

    // A call holds at most 1 MB, in either direction.
    private static final int CALL_BYTES = 1_000_000;

    private final ScheduledExecutorService mExecutor;
    private final Map<RowId, StoredRow> mRows =
            new TreeMap<>(java.util.Comparator.comparing(RowId::toString));
    private final List<Runnable> mWaitingCalls = new ArrayList<>();
    private boolean mUnavailable;
    private boolean mUnresponsive;
    private long mVersion;

    MemoryRowStore(ScheduledExecutorService executor) {
        mExecutor = executor;
    }

    void put(String table, String key, String value) {
        List<Runnable> waiting;
        synchronized (this) {
            RowId id = new RowId(table, "", key);
            mRows.put(id, new StoredRow(id, value, ++mVersion));
            waiting = List.copyOf(mWaitingCalls);
            mWaitingCalls.clear();
        }
        waiting.forEach(Runnable::run);
    }

    /** Returns the table and the key of each row. */
    synchronized List<String> keys() {
        return mRows.keySet().stream().map(id -> id.table() + " " + id.key()).toList();
    }

    synchronized void setUnavailable(boolean unavailable) {
        mUnavailable = unavailable;
    }

    /** Sets whether transactions stay without an answer. */
    synchronized void setUnresponsive(boolean unresponsive) {
        mUnresponsive = unresponsive;
    }

    private static long sentBytes(String value) {
        return Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)).length();
    }

    @Override
    public synchronized CompletableFuture<RowPage> read(
            String table, String part, Optional<String> fromKey, int limit) {
        if (mUnavailable) {
            return failed();
        }
        List<StoredRow> rows =
                mRows.values().stream()
                        .filter(row -> row.id().table().equals(table))
                        .filter(row -> row.id().part().equals(part))
                        .filter(row -> row.id().key().compareTo(fromKey.orElse("")) >= 0)
                        .sorted(java.util.Comparator.comparing(row -> row.id().key()))
                        .toList();
        List<StoredRow> page = new ArrayList<>();
        long bytes = 0;
        for (StoredRow row : rows) {
            bytes += sentBytes(row.value());
            if (page.size() == limit || (!page.isEmpty() && bytes > CALL_BYTES)) {
                break;
            }
            page.add(row);
        }
        return CompletableFuture.completedFuture(
                new RowPage(page, page.size() < rows.size(), mVersion));
    }

    @Override
    public synchronized CompletableFuture<TransactionResult> apply(RowTransaction transaction) {
        if (mUnavailable) {
            return failed();
        }
        if (mUnresponsive) {
            return new CompletableFuture<>();
        }
        long bytes = transaction.writes().stream().mapToLong(w -> sentBytes(w.value())).sum();
        if (bytes > CALL_BYTES) {
            return CompletableFuture.failedFuture(
                    new StoreException(Execution.UNKNOWN, "status 400", null));
        }
        boolean conditionsHold =
                transaction.conditions().stream()
                        .allMatch(
                                condition ->
                                        Optional.ofNullable(mRows.get(condition.id()))
                                                        .map(StoredRow::version)
                                                        .orElse(0L)
                                                == condition.version());
        if (!conditionsHold) {
            return CompletableFuture.completedFuture(
                    new TransactionResult.Rejected(
                            transaction.conditions().stream()
                                    .map(condition -> mRows.get(condition.id()))
                                    .filter(row -> row != null)
                                    .toList()));
        }
        mVersion++;
        transaction
                .writes()
                .forEach(
                        write ->
                                mRows.put(
                                        write.id(),
                                        new StoredRow(write.id(), write.value(), mVersion)));
        transaction.removals().forEach(mRows::remove);
        List<Runnable> waiting = List.copyOf(mWaitingCalls);
        mWaitingCalls.clear();
        waiting.forEach(mExecutor::execute);
        return CompletableFuture.completedFuture(new TransactionResult.Committed(mVersion));
    }

    @Override
    public synchronized CompletableFuture<RowChanges> awaitChanges(
            String table, long afterVersion, long waitMillis) {
        if (mUnavailable) {
            return failed();
        }
        CompletableFuture<RowChanges> answer = new CompletableFuture<>();
        Runnable complete = () -> answer.complete(changes(table, afterVersion));
        if (mVersion > afterVersion) {
            complete.run();
        } else {
            mWaitingCalls.add(complete);
            var _ = mExecutor.schedule(complete, waitMillis, TimeUnit.MILLISECONDS);
        }
        return answer;
    }

    private synchronized RowChanges changes(String table, long afterVersion) {
        List<RowChange> changes = new ArrayList<>();
        for (StoredRow row : mRows.values()) {
            if (row.id().table().equals(table) && row.version() > afterVersion) {
                changes.add(new RowChange.Written(row));
            }
        }
        return new RowChanges.Changed(changes, mVersion);
    }

    private static <T> CompletableFuture<T> failed() {
        return CompletableFuture.failedFuture(
                new StoreException(Execution.NOT_RUN, "the store is unavailable", null));
    }
}
