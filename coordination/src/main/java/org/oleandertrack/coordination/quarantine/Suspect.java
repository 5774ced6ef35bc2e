package org.oleandertrack.coordination.quarantine;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.oleandertrack.coordination.store.RowJson;

/** A request that is suspected to crash targets. Guarded by the lock of its owner. */
final class Suspect {

    // More crashes than this change no decision and would let the row grow.
    private static final int MAX_TARGETS = 32;

    private final Set<String> mTargetIds = new LinkedHashSet<>();
    private long mExpiresMillis;
    // Version of the stored row; 0 if it is not known to exist.
    private long mRowVersion;
    private boolean mUnwritten;
    private boolean mWriteInProgress;
    // Number of crashes that the peers were told of.
    private int mReportedCount;

    // Accessors

    Set<String> targetIds() {
        return mTargetIds;
    }

    long expiresMillis() {
        return mExpiresMillis;
    }

    long rowVersion() {
        return mRowVersion;
    }

    boolean needsWrite() {
        return mUnwritten && !mWriteInProgress;
    }

    /** Returns whether this host has observations that the store does not have yet. */
    boolean isUnwritten() {
        return mUnwritten || mWriteInProgress;
    }

    String encode() {
        return RowJson.encode(new SuspectRow(List.copyOf(mTargetIds), mExpiresMillis));
    }

    // Operations

    /** Adds a crash that this host observed. Returns whether it was not known. */
    boolean addObserved(String targetId, long expiresMillis) {
        mExpiresMillis = Math.max(mExpiresMillis, expiresMillis);
        boolean added = mTargetIds.size() < MAX_TARGETS && mTargetIds.add(targetId);
        mUnwritten |= added;
        return added;
    }

    /** Adds crashes that another host reported, which writes them itself. */
    void addReported(Set<String> targetIds, long expiresMillis) {
        mTargetIds.addAll(targetIds);
        mExpiresMillis = Math.max(mExpiresMillis, expiresMillis);
    }

    /** Adds the crashes of the stored row. */
    void addStored(SuspectRow row, long rowVersion) {
        mTargetIds.addAll(row.targetIds());
        mExpiresMillis = Math.max(mExpiresMillis, row.expiresMillis());
        mRowVersion = Math.max(mRowVersion, rowVersion);
    }

    void setRowAbsent() {
        mRowVersion = 0;
    }

    /**
     * Ends a write that was rejected because another host changed the row. The write is needed
     * again unless the row has all crashes already.
     */
    void endRejectedWrite(Optional<SuspectRow> row, long rowVersion) {
        mWriteInProgress = false;
        mRowVersion = rowVersion;
        mUnwritten |= row.isEmpty() || !row.get().targetIds().containsAll(mTargetIds);
        row.ifPresent(present -> mTargetIds.addAll(present.targetIds()));
    }

    void startWrite() {
        mWriteInProgress = true;
        mUnwritten = false;
    }

    void endWrite(long rowVersion) {
        mWriteInProgress = false;
        mRowVersion = Math.max(mRowVersion, rowVersion);
    }

    /** Returns whether the peers are to be told of crashes, and counts them as told. */
    boolean takeReport() {
        boolean isNew = mTargetIds.size() != mReportedCount;
        mReportedCount = mTargetIds.size();
        return isNew;
    }

    void failWrite() {
        mWriteInProgress = false;
        mUnwritten = true;
    }
}
