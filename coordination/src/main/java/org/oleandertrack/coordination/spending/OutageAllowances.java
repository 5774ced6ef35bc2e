package org.oleandertrack.coordination.spending;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** The outage allowances of the programs for which this process issues them. Thread-safe. */
public final class OutageAllowances {

    // Longer than the time within which a stopped program may resume.
    private static final long IDLE_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(120);

    private final LongSupplier mNanoClock;
    private final Map<String, Account> mAccounts = new HashMap<>();

    /** Creates an instance in which no allowance has been used yet. */
    public OutageAllowances(LongSupplier nanoClock) {
        mNanoClock = nanoClock;
    }

    /**
     * Takes tokens for a turn.
     *
     * @param budgetTokens budget of the program, which determines the size of its allowance
     * @param maxTokens tokens to take: the largest number that the turn may generate
     * @return false if the rest of the program's allowance does not cover the tokens
     */
    public synchronized boolean take(String program, long budgetTokens, long maxTokens) {
        long limitTokens = GrantPolicy.outageAllowanceTokens(budgetTokens, maxTokens);
        Account account = mAccounts.computeIfAbsent(program, id -> new Account());
        account.mLastUsedNanos = mNanoClock.getAsLong();
        if (account.mUsedTokens + maxTokens > limitTokens) {
            return false;
        }
        account.mUsedTokens += maxTokens;
        return true;
    }

    /** Gives tokens that were taken but not generated back to the program's allowance. */
    public synchronized void returnTokens(String program, long tokens) {
        Account account = mAccounts.get(program);
        if (account != null) {
            account.mUsedTokens -= tokens;
        }
    }

    /** Removes the allowances of programs that have been idle for 120 s. Call regularly. */
    public synchronized void dropIdle() {
        long nowNanos = mNanoClock.getAsLong();
        mAccounts
                .values()
                .removeIf(account -> nowNanos - account.mLastUsedNanos > IDLE_RETENTION_NANOS);
    }

    private static final class Account {
        private long mUsedTokens;
        private long mLastUsedNanos;
    }
}
