package org.oleandertrack.core.ledger;

import java.util.Optional;

/** Ledger state of one owner. Not thread-safe: guarded by the lock that guards the ledger. */
final class OwnerRecord {

    final String mOwner;
    int mCallsInProgress;
    long mIdleNanos;

    /** Time of the last call, stored event or end that concerned this owner. */
    long mLastActivityNanos;

    private long mCallTokens;
    private long mEventTokens;
    private Optional<ReleaseReason> mReleaseReason = Optional.empty();
    private long mDueNanos;
    private int mFailedAttempts;
    private int mConfirmations;
    private long mReleaseId;
    private long mSentNanos;
    private boolean mReleaseInFlight;

    /**
     * Whether the owner changed, or may have changed, after the last release was sent, so that its
     * confirmation does not cover all stored tokens.
     */
    private boolean mChangedSinceSend;

    /**
     * Whether a release that was sent at least the settling time after the last activity was
     * confirmed.
     */
    private boolean mFinalReleaseConfirmed;

    private int mReadsSinceFinalRelease;

    OwnerRecord(String owner, long idleNanos, long nowNanos) {
        mOwner = owner;
        mIdleNanos = idleNanos;
        mLastActivityNanos = nowNanos;
    }

    // Accessors

    long heldTokens() {
        return Math.max(mCallTokens, mEventTokens);
    }

    boolean isReleasing() {
        return mReleaseReason.isPresent();
    }

    /**
     * Counts a read of the events and returns whether the owner can be removed. Two reads are
     * required because the first may have been in progress when the release was confirmed.
     */
    boolean countReadAndCheckRemovable() {
        return mFinalReleaseConfirmed && ++mReadsSinceFinalRelease >= 2;
    }

    int confirmations() {
        return mConfirmations;
    }

    boolean isDue(long nowNanos) {
        return isReleasing()
                && !mReleaseInFlight
                && !mFinalReleaseConfirmed
                && mCallsInProgress == 0
                && nowNanos - mDueNanos >= 0;
    }

    /** Returns whether the owner has had no call for its idle time. */
    boolean isIdle(long nowNanos) {
        return mCallsInProgress == 0 && nowNanos - mLastActivityNanos >= mIdleNanos;
    }

    // Operations

    /** Requests a release as soon as possible. The reason of an earlier request is kept. */
    void requestRelease(ReleaseReason reason, long nowNanos) {
        if (mReleaseReason.isEmpty()) {
            mReleaseReason = Optional.of(reason);
            mFailedAttempts = 0;
        }
        mConfirmations = 0;
        scheduleRelease(nowNanos);
    }

    /** Cancels a requested release because the owner is in use again. */
    void reactivate(long idleNanos) {
        mReleaseReason = Optional.empty();
        mIdleNanos = idleNanos;
        mFinalReleaseConfirmed = false;
    }

    /** Records the tokens of a call that ended. */
    void addUsage(long tokens) {
        mCallTokens = Math.max(mCallTokens, tokens);
    }

    /** Records stored tokens. If a release has been requested, it is sent again. */
    void addStored(long tokens, long nowNanos) {
        mEventTokens += tokens;
        mLastActivityNanos = nowNanos;
        if (isReleasing()) {
            if (mConfirmations > 0 || mReleaseInFlight) {
                mReleaseReason = Optional.of(ReleaseReason.STORED_AFTER_END);
            }
            mConfirmations = 0;
            scheduleRelease(nowNanos);
        }
    }

    void subtractEvicted(long tokens) {
        mEventTokens = Math.max(0, mEventTokens - tokens);
        if (mCallsInProgress == 0) {
            mCallTokens = Math.min(mCallTokens, mEventTokens);
        }
    }

    /** Repeats a confirmed release because lost events may have reported stored tokens. */
    void repeatAfterEventLoss(LedgerConfig config, long nowNanos) {
        if (!isReleasing() || mConfirmations >= config.maxGapReleases()) {
            return;
        }
        if (mReleaseInFlight) {
            mChangedSinceSend = true;
        } else if (mConfirmations > 0) {
            long againNanos = nowNanos + config.backoffNanos(mConfirmations);
            if (mFinalReleaseConfirmed || againNanos - mDueNanos < 0) {
                mDueNanos = againNanos;
            }
            mReleaseReason = Optional.of(ReleaseReason.EVENT_GAP);
            mFinalReleaseConfirmed = false;
        }
    }

    Release startRelease(long id, long nowNanos) {
        mReleaseId = id;
        mSentNanos = nowNanos;
        mReleaseInFlight = true;
        mChangedSinceSend = false;
        return new Release(
                id, mOwner, mReleaseReason.orElseThrow(), heldTokens(), mFailedAttempts + 1);
    }

    void confirmRelease(long id, LedgerConfig config, long nowNanos) {
        if (!mReleaseInFlight || id != mReleaseId) {
            return;
        }
        mReleaseInFlight = false;
        mFailedAttempts = 0;
        if (!isReleasing() || mCallsInProgress > 0) {
            return;
        }
        mConfirmations++;
        if (mChangedSinceSend) {
            mDueNanos = nowNanos + config.backoffNanos(mConfirmations);
            return;
        }
        mCallTokens = 0;
        mEventTokens = 0;
        long settledNanos = mLastActivityNanos + config.settleNanos();
        mFinalReleaseConfirmed = mSentNanos - settledNanos >= 0;
        mReadsSinceFinalRelease = 0;
        mDueNanos = settledNanos;
    }

    void recordFailure(long id, LedgerConfig config, long nowNanos) {
        if (!mReleaseInFlight || id != mReleaseId) {
            return;
        }
        mReleaseInFlight = false;
        mFailedAttempts++;
        mDueNanos = nowNanos + config.backoffNanos(mFailedAttempts);
    }

    // Helpers

    private void scheduleRelease(long nowNanos) {
        mFinalReleaseConfirmed = false;
        mChangedSinceSend = true;
        // While releases fail, the backoff decides when the next one is sent.
        if (mFailedAttempts == 0) {
            mDueNanos = nowNanos;
        }
    }
}
