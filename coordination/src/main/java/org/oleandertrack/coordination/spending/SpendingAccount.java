package org.oleandertrack.coordination.spending;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Spending of one program at this host. Guarded by the lock of its shard. */
final class SpendingAccount {

    /** A reservation that waits for a grant. */
    record Waiter(long tokens, CompletableFuture<SpendingResult> result) {}

    final String mProgram;
    final ArrayDeque<Waiter> mWaiters = new ArrayDeque<>();
    // Grants whose write was not confirmed; they belong to this host if the row names them.
    final Map<String, Long> mUnconfirmed = new HashMap<>();
    long mBudgetTokens;
    long mGrantedHereTokens;
    long mUsedHereTokens;
    long mGrantedTotalTokens;
    long mRowVersion;
    int mOpenReservations;
    boolean mCallUnderWay;
    long mLastUsedNanos;

    SpendingAccount(String program) {
        mProgram = program;
    }

    long availableTokens() {
        return mGrantedHereTokens - mUsedHereTokens;
    }

    void reserved(long tokens) {
        mUsedHereTokens += tokens;
        mOpenReservations++;
    }

    /** Takes a row that was read, and the grant of this host that it may confirm. */
    void rowSeen(long version, SpendingRow row) {
        mRowVersion = version;
        mGrantedTotalTokens = row.grantedTokens();
        Long tokens = mUnconfirmed.remove(row.writeId());
        if (tokens != null) {
            mGrantedHereTokens += tokens;
        }
    }
}
