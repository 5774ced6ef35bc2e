package org.oleandertrack.coordination.spending;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** The outage allowances of the programs for which this process is the issuer. Thread-safe. */
public final class OutageAllowance {

    // Longer than a program that was stopped may take to come back.
    private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(120);

    private final LongSupplier mNanoClock;
    private final Map<String, Account> mAccounts = new HashMap<>();

    /** Creates allowances of which nothing is used. */
    public OutageAllowance(LongSupplier nanoClock) {
        mNanoClock = nanoClock;
    }

    /** Takes tokens for a turn; false if the program's allowance does not cover them. */
    public synchronized boolean take(String program, long budgetTokens, long maxTokens) {
        long limitTokens = GrantPolicy.outageTokens(budgetTokens, maxTokens);
        Account account = mAccounts.computeIfAbsent(program, id -> new Account());
        account.mLastUsedNanos = mNanoClock.getAsLong();
        if (account.mUsedTokens + maxTokens > limitTokens) {
            return false;
        }
        account.mUsedTokens += maxTokens;
        return true;
    }

    /** Gives back tokens that were not generated. */
    public synchronized void giveBack(String program, long tokens) {
        Account account = mAccounts.get(program);
        if (account != null) {
            account.mUsedTokens -= tokens;
        }
    }

    /** Forgets programs that have been idle for long. Call regularly. */
    public synchronized void dropIdle() {
        long nowNanos = mNanoClock.getAsLong();
        mAccounts.values().removeIf(account -> nowNanos - account.mLastUsedNanos > FORGET_NANOS);
    }

    private static final class Account {
        private long mUsedTokens;
        private long mLastUsedNanos;
    }
}
