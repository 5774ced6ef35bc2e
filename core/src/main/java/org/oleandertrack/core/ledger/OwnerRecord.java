package org.oleandertrack.core.ledger;

import java.util.Optional;

/** What the ledger knows of one owner. Guarded by the ledger's owner. */
final class OwnerRecord {

    final String mOwner;
    int mCallsUnderWay;
    long mIdleNanos;

    /** Time of the last call, store or order that concerned this owner. */
    long mActivityNanos;

    private long mCallTokens;
    private long mEventTokens;
    private Optional<ReleaseReason> mReason = Optional.empty();
    private long mDueNanos;
    private int mFailures;
    private int mConfirmations;
    private long mReleaseId;
    private long mSentNanos;
    private boolean mInFlight;
    private boolean mUncertain;

    /** Whether a release sent after the last activity had settled was confirmed. */
    private boolean mSettled;

    private int mReadsSinceSettled;

    OwnerRecord(String owner, long idleNanos, long nowNanos) {
        mOwner = owner;
        mIdleNanos = idleNanos;
        mActivityNanos = nowNanos;
    }

    // Accessors

    long heldTokens() {
        return Math.max(mCallTokens, mEventTokens);
    }

    boolean isReleasing() {
        return mReason.isPresent();
    }

    /**
     * Counts a read of the events and returns whether the owner can be dropped. Two reads are
     * needed because the first may have been under way when the release was confirmed.
     */
    boolean isDoneAfterRead() {
        return mSettled && ++mReadsSinceSettled >= 2;
    }

    int confirmations() {
        return mConfirmations;
    }

    boolean isDue(long nowNanos) {
        return isReleasing()
                && !mInFlight
                && !mSettled
                && mCallsUnderWay == 0
                && nowNanos - mDueNanos >= 0;
    }

    /** Returns whether the owner has had no call for its idle time. */
    boolean isIdle(long nowNanos) {
        return mCallsUnderWay == 0 && nowNanos - mActivityNanos >= mIdleNanos;
    }

    // Operations

    /** Asks for a release from now on; the reason that came first stays. */
    void request(ReleaseReason reason, long nowNanos) {
        if (mReason.isEmpty()) {
            mReason = Optional.of(reason);
            mFailures = 0;
        }
        mConfirmations = 0;
        repeat(nowNanos);
    }

    /** Counts the owner as in use. */
    void reactivate(long idleNanos) {
        mReason = Optional.empty();
        mIdleNanos = idleNanos;
        mSettled = false;
    }

    /** Takes the usage of a call that ended. */
    void addUsage(long tokens) {
        mCallTokens = Math.max(mCallTokens, tokens);
    }

    /** Takes an event that reports stored tokens; one of an owner to be freed frees it again. */
    void stored(long tokens, long nowNanos) {
        mEventTokens += tokens;
        mActivityNanos = nowNanos;
        if (isReleasing()) {
            if (mConfirmations > 0 || mInFlight) {
                mReason = Optional.of(ReleaseReason.STORED_AFTER_END);
            }
            mConfirmations = 0;
            repeat(nowNanos);
        }
    }

    void evicted(long tokens) {
        mEventTokens = Math.max(0, mEventTokens - tokens);
        if (mCallsUnderWay == 0) {
            mCallTokens = Math.min(mCallTokens, mEventTokens);
        }
    }

    /** Takes note that events were lost. */
    void eventsLost(LedgerConfig config, long nowNanos) {
        if (!isReleasing() || mConfirmations >= config.maxGapReleases()) {
            return;
        }
        if (mInFlight) {
            mUncertain = true;
        } else if (mConfirmations > 0) {
            long againNanos = nowNanos + config.backoffNanos(mConfirmations);
            if (mSettled || againNanos - mDueNanos < 0) {
                mDueNanos = againNanos;
            }
            mReason = Optional.of(ReleaseReason.EVENT_GAP);
            mSettled = false;
        }
    }

    Release send(long id, long nowNanos) {
        mReleaseId = id;
        mSentNanos = nowNanos;
        mInFlight = true;
        mUncertain = false;
        return new Release(id, mOwner, mReason.orElseThrow(), heldTokens(), mFailures + 1);
    }

    void confirmed(long id, LedgerConfig config, long nowNanos) {
        if (!mInFlight || id != mReleaseId) {
            return;
        }
        mInFlight = false;
        mFailures = 0;
        if (!isReleasing() || mCallsUnderWay > 0) {
            return;
        }
        mConfirmations++;
        if (mUncertain) {
            mDueNanos = nowNanos + config.backoffNanos(mConfirmations);
            return;
        }
        mCallTokens = 0;
        mEventTokens = 0;
        long settledNanos = mActivityNanos + config.settleNanos();
        mSettled = mSentNanos - settledNanos >= 0;
        mReadsSinceSettled = 0;
        mDueNanos = settledNanos;
    }

    void failed(long id, LedgerConfig config, long nowNanos) {
        if (!mInFlight || id != mReleaseId) {
            return;
        }
        mInFlight = false;
        mFailures++;
        mDueNanos = nowNanos + config.backoffNanos(mFailures);
    }

    // Helpers

    private void repeat(long nowNanos) {
        mSettled = false;
        mUncertain = true;
        // While releases fail, their backoff stays in force.
        if (mFailures == 0) {
            mDueNanos = nowNanos;
        }
    }
}
