package org.oleandertrack.core.discovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The targets as the store lists them. An entry that vanishes while the store is unstable may have
 * expired only because its target could not renew it, so the target stays in use until some time
 * after the store has returned. Thread-safe.
 */
public final class TargetDirectory {

    private final long mExpiryGraceNanos;
    private final TargetListener mListener;
    private final Map<String, Entry> mEntries = new HashMap<>();
    private boolean mStoreReachable = true;
    private long mStoreStableSinceNanos;

    /**
     * Creates an empty directory.
     *
     * @param expiryGraceNanos time after the store's return within which living targets renew their
     *     entries
     * @param nowNanos the store counts as stable since long before this time
     */
    public TargetDirectory(long expiryGraceNanos, TargetListener listener, long nowNanos) {
        mExpiryGraceNanos = expiryGraceNanos;
        mListener = listener;
        mStoreStableSinceNanos = nowNanos - expiryGraceNanos;
    }

    // Accessors

    /** Returns a target that may get work. */
    public synchronized Optional<TargetRecord> usable(String id) {
        return Optional.ofNullable(mEntries.get(id))
                .map(entry -> entry.mRecord)
                .filter(record -> !record.draining());
    }

    /** Returns all known targets, also those that drain. */
    public synchronized List<TargetRecord> records() {
        return mEntries.values().stream().map(entry -> entry.mRecord).toList();
    }

    // Operations

    /** Notes that the store does not answer. */
    public synchronized void storeLost() {
        mStoreReachable = false;
    }

    /** Notes that the store answers again. */
    public synchronized void storeRegained(long nowNanos) {
        if (!mStoreReachable) {
            mStoreReachable = true;
            mStoreStableSinceNanos = nowNanos;
        }
    }

    /** Adds a target or replaces what is known about it. */
    public synchronized void put(TargetRecord record) {
        Entry entry = mEntries.get(record.id());
        if (entry == null) {
            mEntries.put(record.id(), new Entry(record));
            if (!record.draining()) {
                mListener.added(record);
            }
            return;
        }
        TargetRecord old = entry.mRecord;
        entry.mRecord = record;
        entry.mMissing = false;
        if (old.equals(record)) {
            return;
        }
        if (old.isSameIncarnation(record) && !old.draining() && !record.draining()) {
            mListener.changed(record);
            return;
        }
        if (!old.draining()) {
            mListener.removed(old, record.draining() ? "draining" : "restarted");
        }
        if (!record.draining()) {
            mListener.added(record);
        }
    }

    /** Notes that a target's entry was removed from the store. */
    public synchronized void remove(String id, long nowNanos) {
        Entry entry = mEntries.get(id);
        if (entry == null) {
            return;
        }
        if (mayHaveExpiredByOutage(nowNanos)) {
            entry.mMissing = true;
            return;
        }
        drop(id, entry);
    }

    /** Replaces everything by a full read of the store. */
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

    /** Drops targets whose entries did not come back in time. Call regularly. */
    public synchronized void dropExpired(long nowNanos) {
        if (mayHaveExpiredByOutage(nowNanos)) {
            return;
        }
        for (String id : new ArrayList<>(mEntries.keySet())) {
            Entry entry = mEntries.get(id);
            if (entry.mMissing) {
                drop(id, entry);
            }
        }
    }

    // Helpers

    private boolean mayHaveExpiredByOutage(long nowNanos) {
        return !mStoreReachable || nowNanos - mStoreStableSinceNanos < mExpiryGraceNanos;
    }

    private void drop(String id, Entry entry) {
        mEntries.remove(id);
        if (!entry.mRecord.draining()) {
            mListener.removed(entry.mRecord, entry.mMissing ? "expired" : "removed");
        }
    }

    private static final class Entry {
        private TargetRecord mRecord;
        private boolean mMissing;

        private Entry(TargetRecord record) {
            mRecord = record;
        }
    }
}
