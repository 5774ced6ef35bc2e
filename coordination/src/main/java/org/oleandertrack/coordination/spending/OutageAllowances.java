package org.oleandertrack.coordination.spending;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The outage allowances that this process holds. They are in memory only: those of a process that
 * ends are lost, and the budgets that they come from count them as spent. Thread-safe.
 */
public final class OutageAllowances {

    private static final long IDLE_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);

    private final LongSupplier mNanoClock;
    private final Map<String, Account> mAccounts = new HashMap<>();

    /** Creates an instance that holds no tokens. */
    public OutageAllowances(LongSupplier nanoClock) {
        mNanoClock = nanoClock;
    }

    /** Adds tokens to a program's allowance. */
    public synchronized void deposit(String program, long tokens) {
        Account account = mAccounts.computeIfAbsent(program, id -> new Account());
        account.mTokens += tokens;
        account.mLastUsedNanos = mNanoClock.getAsLong();
    }

    /**
     * Removes tokens from a program's allowance.
     *
     * @return false, without a change, if the allowance does not cover the tokens
     */
    public synchronized boolean take(String program, long tokens) {
        Account account = mAccounts.get(program);
        if (account == null || account.mTokens < tokens) {
            return false;
        }
        account.mTokens -= tokens;
        account.mLastUsedNanos = mNanoClock.getAsLong();
        return true;
    }

    /** Removes the allowances that have not changed for ten minutes. Call regularly. */
    public synchronized void dropIdle() {
        long nowNanos = mNanoClock.getAsLong();
        mAccounts
                .values()
                .removeIf(account -> nowNanos - account.mLastUsedNanos > IDLE_RETENTION_NANOS);
    }

    private static final class Account {
        private long mTokens;
        private long mLastUsedNanos;
    }
}
