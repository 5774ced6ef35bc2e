package org.oleandertrack.core.queue;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Deficit accounting of service between organisations. In each round an organisation gains its
 * weight times the quantum, and it is charged for the service that its calls use, which may take it
 * below zero because lengths are known only afterwards. An organisation is in credit while its
 * balance is above zero. A balance never exceeds the gain of one round, so an idle organisation
 * saves up no more than that.
 *
 * <p>Not thread-safe: the owner guards each instance with its own lock.
 */
public final class FairShares {

    private static final int PRUNE_SIZE = 4_096;

    private final OrganisationWeights mWeights;
    private final long mQuantumNanos;
    private final Map<String, Account> mAccounts = new HashMap<>();
    private long mRound;
    private int mPruneAt = PRUNE_SIZE;

    /**
     * Creates accounts that are all full.
     *
     * @param weights the weights of the organisations
     * @param quantumNanos gain of weight 1 in a round, in nanoseconds; positive
     * @throws IllegalArgumentException if the quantum is not positive
     */
    public FairShares(OrganisationWeights weights, long quantumNanos) {
        if (quantumNanos <= 0) {
            throw new IllegalArgumentException("quantumNanos is not positive: " + quantumNanos);
        }
        mWeights = weights;
        mQuantumNanos = quantumNanos;
    }

    /** Returns whether the organisation's balance is above zero. */
    public boolean inCredit(String organisation) {
        return balanceNanos(organisation) > 0;
    }

    /** Returns the organisation's balance in nanoseconds of service. */
    public long balanceNanos(String organisation) {
        Account account = mAccounts.get(organisation);
        return account == null ? gainNanos(organisation) : currentNanos(organisation, account);
    }

    /** Charges service in nanoseconds; a negative amount returns service charged too much. */
    public void charge(String organisation, long nanos) {
        Account account = mAccounts.computeIfAbsent(organisation, this::fullAccount);
        account.mBalanceNanos =
                Math.min(currentNanos(organisation, account) - nanos, gainNanos(organisation));
        account.mRound = mRound;
        if (mAccounts.size() > mPruneAt) {
            prune();
        }
    }

    /**
     * Advances the rounds until at least one of the organisations is in credit. Does nothing when
     * one already is, or when there are none.
     */
    public void advanceFor(Collection<String> organisations) {
        long rounds = Long.MAX_VALUE;
        for (String organisation : organisations) {
            rounds = Math.min(rounds, roundsToCredit(organisation));
        }
        if (rounds != Long.MAX_VALUE) {
            mRound += rounds;
        }
    }

    private long roundsToCredit(String organisation) {
        long balance = balanceNanos(organisation);
        return balance > 0 ? 0 : -balance / gainNanos(organisation) + 1;
    }

    private long gainNanos(String organisation) {
        return Math.max(1, mWeights.weightOf(organisation)) * mQuantumNanos;
    }

    private long currentNanos(String organisation, Account account) {
        long gain = gainNanos(organisation);
        return Math.min(gain, account.mBalanceNanos + (mRound - account.mRound) * gain);
    }

    private Account fullAccount(String organisation) {
        Account account = new Account();
        account.mBalanceNanos = gainNanos(organisation);
        account.mRound = mRound;
        return account;
    }

    // A full account is what an unknown organisation has, so dropping it changes nothing.
    private void prune() {
        mAccounts
                .entrySet()
                .removeIf(
                        entry ->
                                currentNanos(entry.getKey(), entry.getValue())
                                        >= gainNanos(entry.getKey()));
        mPruneAt = Math.max(PRUNE_SIZE, 2 * mAccounts.size());
    }

    private static final class Account {
        private long mBalanceNanos;
        private long mRound;
    }
}
