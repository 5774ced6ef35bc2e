package org.oleandertrack.core.discovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The targets that the store lists. Targets have to renew their entries in the store. If an entry
 * disappears while the store is unreachable, or within a grace period afterwards, the target may be
 * alive and merely unable to renew it, so it stays in use until the grace period has ended. A
 * target that says in a response that it leaves is not used again, whatever the store lists, until
 * it starts anew. Thread-safe.
 */
public final class TargetDirectory {

    // Incarnations that are remembered as leaving; the store lists them for a few seconds more.
    private static final int MAX_LEAVING = 1_000;

    private final long mExpiryGraceNanos;
    private final TargetListener mListener;
    private final Map<String, Entry> mEntries = new HashMap<>();
    private final Set<String> mLeavingIncarnations = new LinkedHashSet<>();
    private boolean mStoreReachable = true;
    private long mStoreReachableSinceNanos;

    /**
     * Creates an empty directory.
     *
     * @param expiryGraceNanos time after the store becomes reachable again within which live
     *     targets renew their entries, in nanoseconds
     * @param listener receives changes
     * @param nowNanos current time; the grace period counts as already over
     */
    public TargetDirectory(long expiryGraceNanos, TargetListener listener, long nowNanos) {
        mExpiryGraceNanos = expiryGraceNanos;
        mListener = listener;
        mStoreReachableSinceNanos = nowNanos - expiryGraceNanos;
    }

    // Accessors

    /** Returns a target if it is known and neither draining nor leaving. */
    public synchronized Optional<TargetRecord> findUsable(String id) {
        return Optional.ofNullable(mEntries.get(id))
                .map(entry -> entry.mRecord)
                .filter(this::isUsable);
    }

    /** Returns all known targets, including draining ones. */
    public synchronized List<TargetRecord> records() {
        return mEntries.values().stream().map(entry -> entry.mRecord).toList();
    }

    // Operations

    /** Records that the store is unreachable. */
    public synchronized void markStoreUnreachable() {
        mStoreReachable = false;
    }

    /** Records that the store is reachable; starts the grace period if it was unreachable. */
    public synchronized void markStoreReachable(long nowNanos) {
        if (!mStoreReachable) {
            mStoreReachable = true;
            mStoreReachableSinceNanos = nowNanos;
        }
    }

    /** Adds or updates a target. */
    public synchronized void put(TargetRecord record) {
        Entry entry = mEntries.get(record.id());
        if (entry == null) {
            mEntries.put(record.id(), new Entry(record));
            if (isUsable(record)) {
                mListener.onAdded(record);
            }
            return;
        }
        TargetRecord old = entry.mRecord;
        entry.mRecord = record;
        entry.mRemovalPending = false;
        if (old.equals(record)) {
            return;
        }
        if (old.isSameIncarnation(record) && isUsable(old) && isUsable(record)) {
            mListener.onChanged(record);
            return;
        }
        if (isUsable(old)) {
            mListener.onRemoved(
                    old, record.draining() ? RemovalReason.DRAINING : RemovalReason.RESTARTED);
        }
        if (isUsable(record)) {
            mListener.onAdded(record);
        }
    }

    /** Records that an incarnation of a target has said that it leaves. */
    public synchronized void markLeaving(TargetRecord record) {
        Optional<TargetRecord> inUse = findUsable(record.id()).filter(record::isSameIncarnation);
        if (!mLeavingIncarnations.add(record.incarnationId())) {
            return;
        }
        if (mLeavingIncarnations.size() > MAX_LEAVING) {
            mLeavingIncarnations.remove(mLeavingIncarnations.iterator().next());
        }
        inUse.ifPresent(target -> mListener.onRemoved(target, RemovalReason.LEAVING));
    }

    /** Records that a target's entry was removed from the store. */
    public synchronized void remove(String id, long nowNanos) {
        Entry entry = mEntries.get(id);
        if (entry == null) {
            return;
        }
        if (mayHaveExpiredByOutage(nowNanos)) {
            entry.mRemovalPending = true;
            return;
        }
        drop(id, entry);
    }

    /** Replaces the contents by a complete list of the entries in the store. */
    public synchronized void replaceAll(List<TargetRecord> records, long nowNanos) {
        Set<String> present = new HashSet<>();
        for (TargetRecord record : records) {
            present.add(record.id());
            put(record);
        }
        for (String id : new ArrayList<>(mEntries.keySet())) {
            if (!present.contains(id)) {
                remove(id, nowNanos);
            }
        }
    }

    /**
     * Removes targets whose entries were not renewed within the grace period. To be called
     * regularly.
     */
    public synchronized void dropExpired(long nowNanos) {
        if (mayHaveExpiredByOutage(nowNanos)) {
            return;
        }
        for (String id : new ArrayList<>(mEntries.keySet())) {
            Entry entry = mEntries.get(id);
            if (entry.mRemovalPending) {
                drop(id, entry);
            }
        }
    }

    // Helpers

    private boolean mayHaveExpiredByOutage(long nowNanos) {
        return !mStoreReachable || nowNanos - mStoreReachableSinceNanos < mExpiryGraceNanos;
    }

    private void drop(String id, Entry entry) {
        mEntries.remove(id);
        if (isUsable(entry.mRecord)) {
            mListener.onRemoved(
                    entry.mRecord,
                    entry.mRemovalPending ? RemovalReason.EXPIRED : RemovalReason.REMOVED);
        }
    }

    private boolean isUsable(TargetRecord record) {
        return !record.draining() && !mLeavingIncarnations.contains(record.incarnationId());
    }

    private static final class Entry {
        private TargetRecord mRecord;
        private boolean mRemovalPending;

        private Entry(TargetRecord record) {
            mRecord = record;
        }
    }
}
