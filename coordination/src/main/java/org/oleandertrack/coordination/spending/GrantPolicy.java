package org.oleandertrack.coordination.spending;

import java.util.Optional;

/**
 * Decides how many tokens of a program's budget a host is granted at once. While much of the budget
 * is left, a grant covers several turns, so that the next turns of the program need no write to the
 * store and continue during an outage of the store. The rest of the budget is left to the other
 * hosts that serve the same program.
 */
final class GrantPolicy {

    /**
     * Tokens of one grant.
     *
     * @param hostTokens tokens for the host that asks
     * @param allowanceTokens tokens for the program's outage allowance
     */
    record GrantSize(long hostTokens, long allowanceTokens) {

        long totalTokens() {
            return hostTokens + allowanceTokens;
        }
    }

    // The size of a grant is the number of ungranted tokens divided by this. Turns of one program
    // arrive at up to six hosts, and a turn generates a quarter of its maximum.
    private static final int GRANT_DIVISOR = 8;
    // Idle hosts return unused tokens once the granted tokens exceed the budget divided by this.
    private static final int SCARCITY_DIVISOR = 2;
    // The outage allowance is the budget divided by this.
    private static final int OUTAGE_DIVISOR = 4;

    private GrantPolicy() {}

    /**
     * Returns whether so much of a budget is granted that idle hosts have to return their unused
     * tokens.
     */
    static boolean isScarce(long budgetTokens, long grantedTokens) {
        return grantedTokens > budgetTokens / SCARCITY_DIVISOR;
    }

    /**
     * Returns the size of the next grant; empty if the budget does not cover the needed tokens. The
     * first grant of a program includes its outage allowance, so that whatever is issued during an
     * outage has been granted before.
     *
     * @param grantedTokens tokens granted to all hosts and to the allowance so far
     * @param neededTokens tokens that the host needs now
     * @param furtherTokens tokens that are to be granted for later turns as well, unless that makes
     *     the budget scarce for other hosts; 0 while writes are not to be saved
     */
    static Optional<GrantSize> nextGrant(
            long budgetTokens, long grantedTokens, long neededTokens, long furtherTokens) {
        long ungrantedTokens = budgetTokens - grantedTokens;
        if (ungrantedTokens < neededTokens) {
            return Optional.empty();
        }
        long allowanceTokens =
                grantedTokens == 0 ? outageAllowanceTokens(budgetTokens, neededTokens) : 0;
        long hostTokens =
                Math.max(neededTokens, (ungrantedTokens - allowanceTokens) / GRANT_DIVISOR);
        long largerTokens = Math.max(hostTokens, neededTokens + furtherTokens);
        if (!isScarce(budgetTokens, grantedTokens + allowanceTokens + largerTokens)) {
            hostTokens = largerTokens;
        }
        return Optional.of(new GrantSize(hostTokens, allowanceTokens));
    }

    // A budget whose allowance would not cover a turn has none.
    private static long outageAllowanceTokens(long budgetTokens, long turnTokens) {
        long tokens = budgetTokens / OUTAGE_DIVISOR;
        return tokens >= turnTokens ? tokens : 0;
    }
}
