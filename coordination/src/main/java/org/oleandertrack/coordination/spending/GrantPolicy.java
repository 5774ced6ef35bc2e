package org.oleandertrack.coordination.spending;

import java.util.OptionalLong;

/**
 * Decides how many tokens of a program's budget a host takes at once. While much is left it takes
 * the most of several turns, so that the further turns of the program need no write and go on
 * during an outage of the store, and leaves the rest to other hosts that serve the same program.
 */
final class GrantPolicy {

    // Turns of one program arrive at up to six hosts, and a turn uses a quarter of its most.
    private static final int PARTS_OF_REST = 8;
    // A host keeps what it does not use until the budget is half granted.
    private static final int SCARCE_PART = 2;
    private static final int OUTAGE_PART = 4;
    private static final int MIN_TURNS_FOR_OUTAGE = 8;

    private GrantPolicy() {}

    /**
     * Returns the tokens of a budget that are never granted through the store, because they are
     * handed out during its outages. Budgets of a few turns have none: one turn too many would
     * exceed them noticeably.
     */
    static long outageTokens(long budgetTokens, long maxTurnTokens) {
        return budgetTokens >= MIN_TURNS_FOR_OUTAGE * maxTurnTokens
                ? budgetTokens / OUTAGE_PART
                : 0;
    }

    /** Returns whether hosts give back what they do not use. */
    static boolean isScarce(long budgetTokens, long grantedTokens) {
        return grantedTokens > budgetTokens / SCARCE_PART;
    }

    /**
     * Returns the size of the next grant, or nothing if the budget does not cover it.
     *
     * @param budgetTokens the program's budget
     * @param grantedTokens tokens granted to all hosts so far
     * @param neededTokens tokens that the host needs now
     */
    static OptionalLong grantTokens(long budgetTokens, long grantedTokens, long neededTokens) {
        long leftTokens = budgetTokens - grantedTokens;
        if (leftTokens < neededTokens) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Math.max(neededTokens, leftTokens / PARTS_OF_REST));
    }
}
