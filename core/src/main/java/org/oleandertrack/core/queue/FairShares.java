package org.oleandertrack.core.queue;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Divides service time between organisations by deficit round robin. In each round an
 * organisation's balance grows by its weight times the quantum. The service time of its calls is
 * subtracted, which may make the balance negative because the duration of a call is only known
 * afterwards. An organisation is in credit while its balance is above zero. The balance is limited
 * to the amount gained in one round, so an idle organisation saves no more than that.
 *
 * <p>Not thread-safe: the owner guards each instance with its own lock.
 */
public final class FairShares {

    private static final int MIN_PRUNE_THRESHOLD = 4_096;

    private final OrganisationWeights mWeights;
    private final long mQuantumNanos;
    private final Map<String, Account> mAccounts = new HashMap<>();
    private long mRound;
    private int mPruneThreshold = MIN_PRUNE_THRESHOLD;

    /**
     * Creates accounts whose balances are at their limit.
     *
     * @param weights the weights of the organisations
     * @param quantumNanos gain per round at weight 1, in nanoseconds; positive
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
    public boolean isInCredit(String organisation) {
        return balanceNanos(organisation) > 0;
    }

    /** Returns the organisation's balance in nanoseconds of service time. */
    public long balanceNanos(String organisation) {
        Account account = mAccounts.get(organisation);
        return account == null
                ? gainNanos(organisation)
                : currentBalanceNanos(organisation, account);
    }

    /**
     * Subtracts service time in nanoseconds from the balance; a negative amount refunds service
     * time that was charged in excess.
     */
    public void charge(String organisation, long serviceNanos) {
        Account account = mAccounts.computeIfAbsent(organisation, this::fullAccount);
        account.mBalanceNanos =
                Math.min(
                        currentBalanceNanos(organisation, account) - serviceNanos,
                        gainNanos(organisation));
        account.mRound = mRound;
        if (mAccounts.size() > mPruneThreshold) {
            pruneFullAccounts();
        }
    }

    /**
     * Advances to the first round in which at least one of the organisations is in credit. Does
     * nothing if one already is, or if there are none.
     */
    public void advanceRoundsFor(Collection<String> organisations) {
        long roundsToAdvance = Long.MAX_VALUE;
        for (String organisation : organisations) {
            roundsToAdvance = Math.min(roundsToAdvance, roundsToCredit(organisation));
        }
        if (roundsToAdvance != Long.MAX_VALUE) {
            mRound += roundsToAdvance;
        }
    }

    private long roundsToCredit(String organisation) {
        long balanceNanos = balanceNanos(organisation);
        return balanceNanos > 0 ? 0 : -balanceNanos / gainNanos(organisation) + 1;
    }

    private long gainNanos(String organisation) {
        return Math.max(1, mWeights.weightOf(organisation)) * mQuantumNanos;
    }

    private long currentBalanceNanos(String organisation, Account account) {
        long gainNanos = gainNanos(organisation);
        return Math.min(gainNanos, account.mBalanceNanos + (mRound - account.mRound) * gainNanos);
    }

    private Account fullAccount(String organisation) {
        Account account = new Account();
        account.mBalanceNanos = gainNanos(organisation);
        account.mRound = mRound;
        return account;
    }

    // An unknown organisation starts with a full balance, so removing an account with a full
    // balance changes nothing.
    private void pruneFullAccounts() {
        mAccounts
                .entrySet()
                .removeIf(
                        entry ->
                                currentBalanceNanos(entry.getKey(), entry.getValue())
                                        >= gainNanos(entry.getKey()));
        mPruneThreshold = Math.max(MIN_PRUNE_THRESHOLD, 2 * mAccounts.size());
    }

    private static final class Account {
        private long mBalanceNanos;
        private long mRound;
    }
}
