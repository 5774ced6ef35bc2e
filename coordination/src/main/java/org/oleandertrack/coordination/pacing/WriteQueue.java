package org.oleandertrack.coordination.pacing;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oleandertrack.coordination.store.RowId;
import org.oleandertrack.coordination.store.RowTransaction;
import org.oleandertrack.coordination.store.StoreCallLimits;

/**
 * Writes that wait for the store's rate, by importance and then by age. Writes of one part are
 * taken together for one transaction, at most one of which is under way, because the store runs the
 * transactions of a part one after another. Not thread-safe.
 */
final class WriteQueue {

    // Weight that a transaction keeps with each later one: the last 20 or so count.
    private static final double HISTORY_WEIGHT = 0.95;
    // Keeps a share that is known from a few transactions only from being close to 1.
    private static final double PRIOR_WEIGHT = 5;

    private final Map<WriteImportance, LinkedHashMap<RowTransaction, QueuedWrite>> mWrites =
            new EnumMap<>(WriteImportance.class);
    // Time from which the next transaction of a part may be made.
    private final Map<QueuedWrite.Part, Long> mNextNanos = new HashMap<>();
    private final Set<QueuedWrite.Part> mUnderWay = new HashSet<>();
    // Recent transactions by importance; older ones count less.
    private final Map<WriteImportance, Double> mRecent = new EnumMap<>(WriteImportance.class);

    WriteQueue() {
        for (WriteImportance importance : WriteImportance.values()) {
            mWrites.put(importance, new LinkedHashMap<>());
            mRecent.put(importance, 0.0);
        }
    }

    // Accessors

    boolean isEmpty() {
        return mWrites.values().stream().allMatch(Map::isEmpty);
    }

    int size() {
        return mWrites.values().stream().mapToInt(Map::size).sum();
    }

    /** Returns the number of writes that are made before a new one of the given importance. */
    int countBefore(WriteImportance importance) {
        return mWrites.entrySet().stream()
                .filter(entry -> entry.getKey().compareTo(importance) <= 0)
                .mapToInt(entry -> entry.getValue().size())
                .sum();
    }

    /**
     * Returns the share of recent transactions that were more important than the given importance.
     * Those yet to come are made before a write that waits now.
     */
    double shareBefore(WriteImportance importance) {
        double before = 0;
        double all = PRIOR_WEIGHT;
        for (Map.Entry<WriteImportance, Double> entry : mRecent.entrySet()) {
            all += entry.getValue();
            before += entry.getKey().compareTo(importance) < 0 ? entry.getValue() : 0;
        }
        return before / all;
    }

    /** Returns the write of an equal transaction; both may then have the same result. */
    Optional<QueuedWrite> find(RowTransaction transaction) {
        return Optional.ofNullable(mWrites.get(WriteImportance.of(transaction)).get(transaction));
    }

    // Operations

    void addLast(QueuedWrite write) {
        mWrites.get(write.importance()).put(write.transaction(), write);
    }

    /** Adds a write again that the store has refused. */
    void addFirst(QueuedWrite write) {
        mWrites.get(write.importance()).putFirst(write.transaction(), write);
    }

    /** Removes and returns the writes that have waited for too long. */
    List<QueuedWrite> removeExpired(long nowNanos) {
        List<QueuedWrite> expired = new ArrayList<>();
        for (Map<RowTransaction, QueuedWrite> writes : mWrites.values()) {
            writes.values()
                    .removeIf(write -> nowNanos - write.endNanos() >= 0 && expired.add(write));
        }
        return expired;
    }

    /** Returns whether some write may be made now, as far as the rates of parts are concerned. */
    boolean hasReady(long nowNanos) {
        return nextReady(nowNanos).isPresent();
    }

    /**
     * Removes and returns the writes of the next transaction, whose part is then under way.
     *
     * @param partIntervalNanos time until the next transaction of the same part
     */
    List<QueuedWrite> takeNext(long nowNanos, long partIntervalNanos) {
        Optional<QueuedWrite> next = nextReady(nowNanos);
        if (next.isEmpty()) {
            return List.of();
        }
        QueuedWrite.Part part = next.get().part();
        mNextNanos.values().removeIf(nanos -> nowNanos - nanos >= 0);
        mNextNanos.put(part, nowNanos + partIntervalNanos);
        mUnderWay.add(part);
        mRecent.replaceAll((importance, transactions) -> HISTORY_WEIGHT * transactions);
        mRecent.merge(next.get().importance(), 1.0, Double::sum);
        return takeWith(next.get(), part);
    }

    /** Records that the transaction of a part has ended. */
    void recordEnd(QueuedWrite.Part part) {
        mUnderWay.remove(part);
    }

    // Helpers

    private Optional<QueuedWrite> nextReady(long nowNanos) {
        return mWrites.values().stream()
                .flatMap(writes -> writes.values().stream())
                .filter(write -> isReady(write.part(), nowNanos))
                .findFirst();
    }

    private boolean isReady(QueuedWrite.Part part, long nowNanos) {
        Long nextNanos = mNextNanos.get(part);
        return !mUnderWay.contains(part) && (nextNanos == null || nowNanos - nextNanos >= 0);
    }

    // Writes that concern the same row depend on each other's result and are not joined.
    private List<QueuedWrite> takeWith(QueuedWrite first, QueuedWrite.Part part) {
        mWrites.get(first.importance()).remove(first.transaction());
        List<QueuedWrite> taken = new ArrayList<>(List.of(first));
        if (!first.mayJoin()) {
            return taken;
        }
        Set<RowId> rows = first.rows();
        int entries = first.entries();
        long bytes = first.bytes();
        for (Map<RowTransaction, QueuedWrite> writes : mWrites.values()) {
            Iterator<QueuedWrite> iterator = writes.values().iterator();
            while (iterator.hasNext()) {
                QueuedWrite write = iterator.next();
                boolean joins =
                        write.mayJoin()
                                && write.part().equals(part)
                                && entries + write.entries()
                                        <= StoreCallLimits.MAX_TRANSACTION_ENTRIES
                                && bytes + write.bytes() <= StoreCallLimits.MAX_TRANSACTION_BYTES
                                && write.rows().stream().noneMatch(rows::contains);
                if (joins) {
                    iterator.remove();
                    taken.add(write);
                    rows.addAll(write.rows());
                    entries += write.entries();
                    bytes += write.bytes();
                }
            }
        }
        return taken;
    }
}
