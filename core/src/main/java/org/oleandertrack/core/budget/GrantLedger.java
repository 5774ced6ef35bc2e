package org.oleandertrack.core.budget;

/**
 * Tracks the use of a grant by its holder: reservations of turns in progress, and used tokens that
 * the durable account does not yet count as spent. Not thread-safe.
 */
public final class GrantLedger {

    private BudgetAccount mAccount;
    private long mReservedTokens;
    private long mUsedTokens;

    /** Creates the ledger of an unused grant. */
    public GrantLedger(BudgetAccount account) {
        mAccount = account;
    }

    /** Returns the durable account as last written. */
    public BudgetAccount account() {
        return mAccount;
    }

    /** Returns the number of used tokens that the durable account does not yet count as spent. */
    public long usedTokens() {
        return mUsedTokens;
    }

    /** Returns the number of tokens that can still be reserved. */
    public long availableTokens() {
        return mAccount.grantTokens() - mReservedTokens - mUsedTokens;
    }

    /**
     * Reserves the largest number of tokens that a turn may use; returns false if the grant does
     * not cover it.
     */
    public boolean reserve(long tokens) {
        if (tokens < 0 || tokens > availableTokens()) {
            return false;
        }
        mReservedTokens += tokens;
        return true;
    }

    /**
     * Replaces a reservation by the tokens that the turn used.
     *
     * @param usedTokens number of tokens that the engine reports; a number above the reservation is
     *     an error of the engine, and only the reservation is counted, because a turn cannot use
     *     more
     */
    public void settle(long reservedTokens, long usedTokens) {
        mReservedTokens -= reservedTokens;
        mUsedTokens += Math.min(usedTokens, reservedTokens);
    }

    /**
     * Returns the account to write next: used tokens are moved to the spent tokens and the grant is
     * renewed. The new grant is never below the remainder of the current one, because tokens may be
     * reserved from it while the write is in progress.
     *
     * @param additionalTokens number of tokens to grant in addition to the reserved ones
     */
    public BudgetAccount nextAccount(long additionalTokens) {
        BudgetAccount settled = mAccount.afterSettling(mUsedTokens);
        return settled.withGrant(
                Math.max(settled.grantTokens(), mReservedTokens + additionalTokens));
    }

    /**
     * Records that an account returned by {@link #nextAccount} was written.
     *
     * @param account the account written
     * @param settledTokens value of {@link #usedTokens} when the account was created
     */
    public void confirmWritten(BudgetAccount account, long settledTokens) {
        mAccount = account;
        mUsedTokens -= settledTokens;
    }
}
