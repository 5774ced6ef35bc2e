package org.oleandertrack.coordination.quarantine;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.oleandertrack.coordination.feed.TableListener;
import org.oleandertrack.coordination.store.RowChange;
import org.oleandertrack.coordination.store.RowId;
import org.oleandertrack.coordination.store.RowJson;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.RowTransaction;
import org.oleandertrack.coordination.store.StoreFailures;
import org.oleandertrack.coordination.store.StoredRow;
import org.oleandertrack.coordination.store.TransactionResult;
import org.oleandertrack.core.quarantine.CrashExplanation;

/**
 * Requests that crash targets, and the suspects among which they are. Each host writes the crashes
 * that it observes to a table that all hosts follow, so that a request is quarantined on all of
 * them, and still is after they restart. While the store does not take a write, the other hosts are
 * told directly. Thread-safe.
 */
public final class QuarantineService implements TableListener {

    /** Table with one row for each suspect; its key identifies the request whenever it returns. */
    public static final String TABLE = "crash-suspects";

    // A peer that reports a crash writes its row, with the actual time, as soon as it can.
    private static final long REPORTED_RETENTION_MILLIS = TimeUnit.MINUTES.toMillis(1);
    // A store that fails is not asked again by each suspect at each maintenance.
    private static final long RETRY_DELAY_MILLIS = 1_000;
    private static final int MAX_SUSPECTS = 2_000;

    private final RowStore mStore;
    private final QuarantinePeers mPeers;
    private final LongSupplier mMillisClock;
    private final QuarantineListener mListener;
    private final Map<String, Suspect> mSuspects = new HashMap<>();
    private volatile Set<String> mQuarantined = Set.of();
    private volatile boolean mHasSuspects;
    private volatile boolean mComplete;
    private long mRetryMillis;

    /** Creates a service without suspects. */
    public QuarantineService(
            RowStore store,
            QuarantinePeers peers,
            LongSupplier millisClock,
            QuarantineListener listener) {
        mStore = store;
        mPeers = peers;
        mMillisClock = millisClock;
        mListener = listener;
    }

    // Accessors

    /** Returns whether the table has been read at least once. */
    public boolean isComplete() {
        return mComplete;
    }

    /** Returns whether any request is suspected to crash targets. */
    public boolean hasSuspects() {
        return mHasSuspects;
    }

    /** Returns whether requests with the given key must not be sent to targets. */
    public boolean isQuarantined(String requestKey) {
        return mQuarantined.contains(requestKey);
    }

    /** Returns the number of quarantined requests. */
    public int quarantinedCount() {
        return mQuarantined.size();
    }

    // Operations

    /**
     * Records that a target crashed when it had just begun to run a request.
     *
     * @param retentionMillis time for which the crash counts, because targets may be repaired, in
     *     milliseconds
     */
    public void recordCrash(String requestKey, String targetId, long retentionMillis) {
        synchronized (this) {
            if (!mSuspects.containsKey(requestKey) && mSuspects.size() >= MAX_SUSPECTS) {
                removeOldest();
            }
            Suspect suspect = mSuspects.computeIfAbsent(requestKey, key -> new Suspect());
            if (!suspect.addObserved(targetId, mMillisClock.getAsLong() + retentionMillis)) {
                return;
            }
            update();
        }
        write(requestKey);
    }

    /** Records crashes that another host observed. */
    public synchronized void recordReported(String requestKey, Set<String> targetIds) {
        if (!mSuspects.containsKey(requestKey) && mSuspects.size() >= MAX_SUSPECTS) {
            removeOldest();
        }
        mSuspects
                .computeIfAbsent(requestKey, key -> new Suspect())
                .addReported(targetIds, mMillisClock.getAsLong() + REPORTED_RETENTION_MILLIS);
        update();
    }

    /** Records that a target has run a request and answered it, so it is no suspect any more. */
    public void recordAnswer(String requestKey) {
        Optional<Suspect> removed;
        synchronized (this) {
            removed = Optional.ofNullable(mSuspects.remove(requestKey));
            update();
        }
        removed.filter(suspect -> suspect.rowVersion() > 0)
                .ifPresent(suspect -> removeRow(requestKey, suspect.rowVersion()));
    }

    /** Repeats failed writes and forgets old suspects. To be called regularly. */
    public void runMaintenance() {
        long nowMillis = mMillisClock.getAsLong();
        List<String> unwritten;
        Map<String, Long> expiredRows = new HashMap<>();
        synchronized (this) {
            unwritten =
                    mSuspects.entrySet().stream()
                            .filter(entry -> nowMillis >= mRetryMillis)
                            .filter(entry -> entry.getValue().needsWrite())
                            .map(Map.Entry::getKey)
                            .toList();
            mSuspects.entrySet().stream()
                    .filter(entry -> entry.getValue().expiresMillis() < nowMillis)
                    .forEach(
                            entry ->
                                    expiredRows.put(entry.getKey(), entry.getValue().rowVersion()));
            if (!expiredRows.isEmpty()) {
                mSuspects.keySet().removeAll(expiredRows.keySet());
                update();
            }
        }
        unwritten.forEach(this::write);
        expiredRows.forEach(
                (requestKey, version) -> {
                    if (version > 0) {
                        removeRow(requestKey, version);
                    }
                });
    }

    @Override
    public synchronized void onTableRead(List<StoredRow> rows) {
        Set<String> present = rows.stream().map(row -> row.id().key()).collect(Collectors.toSet());
        mSuspects
                .entrySet()
                .removeIf(
                        entry ->
                                !present.contains(entry.getKey())
                                        && entry.getValue().rowVersion() > 0
                                        && !entry.getValue().isUnwritten());
        rows.forEach(this::addStored);
        mComplete = true;
        update();
    }

    @Override
    public synchronized void onRowsChanged(List<RowChange> changes) {
        for (RowChange change : changes) {
            switch (change) {
                case RowChange.Written written -> addStored(written.row());
                case RowChange.Removed removed -> onRowRemoved(removed.id().key());
            }
        }
        update();
    }

    @Override
    public void onStoreLost(String reason) {
        // The loss of the store is logged for the tables of the configuration and the targets.
    }

    @Override
    public void onStoreRegained(long outageMillis) {
        // The return of the store is logged for the tables of the configuration and the targets.
    }

    // Helpers

    private void write(String requestKey) {
        RowTransaction transaction;
        Set<String> targetIds;
        synchronized (this) {
            Suspect suspect = mSuspects.get(requestKey);
            if (suspect == null || !suspect.needsWrite()) {
                return;
            }
            suspect.startWrite();
            targetIds = Set.copyOf(suspect.targetIds());
            transaction =
                    RowTransaction.replace(
                            rowId(requestKey), suspect.rowVersion(), suspect.encode());
        }
        var _ =
                mStore.apply(transaction)
                        .whenComplete(
                                (result, failure) -> {
                                    if (failure != null) {
                                        onWriteFailed(requestKey, targetIds, failure);
                                        return;
                                    }
                                    onWritten(requestKey, result);
                                    write(requestKey);
                                });
    }

    private synchronized void onWritten(String requestKey, TransactionResult result) {
        Suspect suspect = mSuspects.get(requestKey);
        if (suspect == null) {
            return;
        }
        switch (result) {
            case TransactionResult.Committed committed -> suspect.endWrite(committed.version());
            case TransactionResult.Rejected rejected -> {
                Optional<StoredRow> row = rejected.current().stream().findFirst();
                suspect.endRejectedWrite(
                        row.flatMap(this::decode), row.map(StoredRow::version).orElse(0L));
                update();
            }
        }
    }

    private void onWriteFailed(String requestKey, Set<String> targetIds, Throwable failure) {
        boolean mustReport;
        synchronized (this) {
            Optional<Suspect> suspect = Optional.ofNullable(mSuspects.get(requestKey));
            suspect.ifPresent(Suspect::failWrite);
            mustReport = suspect.map(Suspect::takeReport).orElse(false);
            mRetryMillis = mMillisClock.getAsLong() + RETRY_DELAY_MILLIS;
        }
        mListener.onWriteFailed(requestKey, StoreFailures.asStoreException(failure).getMessage());
        if (mustReport) {
            mPeers.report(requestKey, targetIds);
        }
    }

    private void removeRow(String requestKey, long version) {
        RowTransaction transaction =
                new RowTransaction(
                        List.of(new RowTransaction.Condition(rowId(requestKey), version)),
                        List.of(),
                        List.of(rowId(requestKey)));
        var _ =
                mStore.apply(transaction)
                        .whenComplete(
                                (result, failure) -> {
                                    if (failure != null) {
                                        mListener.onWriteFailed(
                                                requestKey,
                                                StoreFailures.asStoreException(failure)
                                                        .getMessage());
                                    }
                                });
    }

    private void addStored(StoredRow row) {
        decode(row)
                .ifPresent(
                        value ->
                                mSuspects
                                        .computeIfAbsent(row.id().key(), key -> new Suspect())
                                        .addStored(value, row.version()));
    }

    private Optional<SuspectRow> decode(StoredRow row) {
        try {
            return Optional.of(RowJson.decode(row.id().toString(), row.value(), SuspectRow.class));
        } catch (IllegalStateException e) {
            mListener.onUnreadable(row.id().key(), String.valueOf(e.getMessage()));
            return Optional.empty();
        }
    }

    private void onRowRemoved(String requestKey) {
        Suspect suspect = mSuspects.get(requestKey);
        if (suspect == null) {
            return;
        }
        if (suspect.isUnwritten()) {
            suspect.setRowAbsent();
            return;
        }
        mSuspects.remove(requestKey);
    }

    private void removeOldest() {
        mSuspects.entrySet().stream()
                .filter(entry -> !mQuarantined.contains(entry.getKey()))
                .min(Map.Entry.comparingByValue(Comparator.comparingLong(Suspect::expiresMillis)))
                .map(Map.Entry::getKey)
                .ifPresent(mSuspects::remove);
    }

    private void update() {
        Map<String, Set<String>> targetsByKey = new HashMap<>();
        mSuspects.forEach(
                (requestKey, suspect) -> targetsByKey.put(requestKey, suspect.targetIds()));
        Set<String> previous = mQuarantined;
        Set<String> current = CrashExplanation.culprits(targetsByKey);
        mHasSuspects = !mSuspects.isEmpty();
        if (current.equals(previous)) {
            return;
        }
        mQuarantined = Set.copyOf(current);
        current.stream()
                .filter(requestKey -> !previous.contains(requestKey))
                .forEach(
                        requestKey ->
                                mListener.onQuarantined(requestKey, targetsByKey.get(requestKey)));
        Set<String> released = new HashSet<>(previous);
        released.removeAll(current);
        released.forEach(mListener::onReleased);
    }

    private static RowId rowId(String requestKey) {
        return new RowId(TABLE, "", requestKey);
    }
}
