package org.oleandertrack.coordination.spending;

import java.util.OptionalLong;

/**
 * Decides how many tokens of a program's budget a host is granted at once. While much of the budget
 * is left, a grant covers several turns, so that the next turns of the program need no write to the
 * store and continue during an outage of the store. The rest of the budget is left to the other
 * hosts that serve the same program.
 */
final class GrantPolicy {

    // The size of a grant is the number of ungranted tokens divided by this. Turns of one program
    // arrive at up to six hosts, and a turn generates a quarter of its maximum.
    private static final int GRANT_DIVISOR = 8;
    // Idle hosts return unused tokens once the granted tokens exceed the budget divided by this.
    private static final int SCARCITY_DIVISOR = 2;
    // The outage allowance is the budget divided by this.
    private static final int OUTAGE_DIVISOR = 4;
    // Smallest budget that has an outage allowance, in turns of the maximum size.
    private static final int MIN_TURNS_FOR_ALLOWANCE = 8;

    private GrantPolicy() {}

    /**
     * Returns the size of a program's outage allowance: the tokens that are never granted through
     * the store, because they are issued during its outages. A budget of a few turns has no
     * allowance, because a single excess turn would be a large part of it.
     *
     * @param maxTurnTokens largest number of tokens that a turn may generate
     */
    static long outageAllowanceTokens(long budgetTokens, long maxTurnTokens) {
        return budgetTokens >= MIN_TURNS_FOR_ALLOWANCE * maxTurnTokens
                ? budgetTokens / OUTAGE_DIVISOR
                : 0;
    }

    /**
     * Returns whether so much of a budget is granted that idle hosts have to return their unused
     * tokens.
     */
    static boolean isScarce(long budgetTokens, long grantedTokens) {
        return grantedTokens > budgetTokens / SCARCITY_DIVISOR;
    }

    /**
     * Returns the size of the next grant; empty if the budget does not cover the needed tokens.
     *
     * @param budgetTokens the program's budget without its outage allowance
     * @param grantedTokens tokens granted to all hosts so far
     * @param neededTokens tokens that the host needs now
     */
    static OptionalLong nextGrantTokens(long budgetTokens, long grantedTokens, long neededTokens) {
        long ungrantedTokens = budgetTokens - grantedTokens;
        if (ungrantedTokens < neededTokens) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Math.max(neededTokens, ungrantedTokens / GRANT_DIVISOR));
    }
}
