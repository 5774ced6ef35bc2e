package org.oleandertrack.coordination.spending;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.coordination.spending.GrantPolicy.GrantSize;

/**
 * Account of one program at this host: tokens that are granted, tokens that are used or reserved,
 * and reservations that wait for a grant. Guarded by the lock of the program's stripe in {@link
 * SpendingService}.
 */
final class SpendingAccount {

    /**
     * A reservation that waits for a grant.
     *
     * @param endNanos time until which it waits while the store is over its rate
     */
    record Waiter(long tokens, long endNanos, CompletableFuture<SpendingResult> result) {}

    final String mProgram;
    final ArrayDeque<Waiter> mWaiters = new ArrayDeque<>();
    // Grants whose write has not been confirmed, by write id. A grant is confirmed when the row is
    // read with its write id.
    final Map<String, GrantSize> mUnconfirmedGrants = new HashMap<>();
    long mBudgetTokens;
    long mTokensGrantedToThisHost;
    long mUsedOrReservedTokens;
    // Granted tokens that are to be moved to the program's outage allowance.
    long mTokensToDeposit;
    // Granted tokens in the program's row and version of the row, as last read or written.
    long mTokensGrantedToAllHosts;
    long mRowVersion;
    int mOpenReservations;
    boolean mStoreRequestInFlight;
    boolean mRowKnown;
    // Refusals for the store's rate since the store last answered otherwise.
    int mRateRefusals;
    long mLastRateRefusalNanos;
    long mLastUsedNanos;

    SpendingAccount(String program) {
        mProgram = program;
    }

    long availableTokens() {
        return mTokensGrantedToThisHost - mUsedOrReservedTokens;
    }

    void reserve(long tokens) {
        mUsedOrReservedTokens += tokens;
        mOpenReservations++;
    }

    /** Removes and returns the tokens that are to be moved to the program's outage allowance. */
    long takeTokensToDeposit() {
        long tokens = mTokensToDeposit;
        mTokensToDeposit = 0;
        return tokens;
    }

    /**
     * Updates the account from the program's row. If the row carries the write id of an unconfirmed
     * grant of this host, the grant is confirmed and its tokens are added.
     */
    void updateFromRow(long version, SpendingRow row) {
        mRowVersion = version;
        mRowKnown = true;
        mTokensGrantedToAllHosts = row.grantedTokens();
        GrantSize size = mUnconfirmedGrants.remove(row.writeId());
        if (size != null) {
            mTokensGrantedToThisHost += size.hostTokens();
            mTokensToDeposit += size.allowanceTokens();
        }
    }
}
