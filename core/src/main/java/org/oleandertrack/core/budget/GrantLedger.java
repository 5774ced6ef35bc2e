package org.oleandertrack.core.budget;

/**
 * What the holder of a grant has drawn from it: reservations of runs under way and tokens used but
 * not settled in the durable account. Not thread safe.
 */
public final class GrantLedger {

    private BudgetAccount mAccount;
    private long mReservedTokens;
    private long mUsedTokens;

    /** Creates the ledger of a grant that nothing was drawn from. */
    public GrantLedger(BudgetAccount account) {
        mAccount = account;
    }

    /** Returns the durable account as last confirmed. */
    public BudgetAccount account() {
        return mAccount;
    }

    /** Returns the tokens used since the account was last settled. */
    public long usedTokens() {
        return mUsedTokens;
    }

    /** Returns the tokens that can still be reserved from the grant. */
    public long availableTokens() {
        return mAccount.grantTokens() - mReservedTokens - mUsedTokens;
    }

    /** Reserves the worst case of a run; returns false if the grant does not cover it. */
    public boolean reserve(long tokens) {
        if (tokens < 0 || tokens > availableTokens()) {
            return false;
        }
        mReservedTokens += tokens;
        return true;
    }

    /**
     * Replaces a reservation by what the run used.
     *
     * @param usedTokens tokens that the engine reports; more than the reservation is an error of
     *     the engine and counts as the reservation, which is a worst case
     */
    public void settle(long reservedTokens, long usedTokens) {
        mReservedTokens -= reservedTokens;
        mUsedTokens += Math.min(usedTokens, reservedTokens);
    }

    /**
     * Returns the account to write next: what was used is settled and the grant is renewed. The
     * grant never falls below what is left of the present one, because reservations may be drawn
     * from it while the write is under way.
     *
     * @param freshTokens tokens wanted beyond the reservations
     */
    public BudgetAccount next(long freshTokens) {
        BudgetAccount settled = mAccount.settled(mUsedTokens);
        return settled.withGrant(Math.max(settled.grantTokens(), mReservedTokens + freshTokens));
    }

    /**
     * Takes an account that was written.
     *
     * @param settledTokens tokens that it settles, as {@link #usedTokens} was when it was made
     */
    public void written(BudgetAccount account, long settledTokens) {
        mAccount = account;
        mUsedTokens -= settledTokens;
    }
}
