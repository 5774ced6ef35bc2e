package org.oleandertrack.core.budget;

/**
 * Durable record of a program's token budget. A grant is the number of tokens that the current
 * holder of the program may spend without writing this record. Spent and granted tokens together
 * never exceed the budget, and a new holder counts the previous holder's grant as spent, so neither
 * can overspend. Immutable.
 *
 * @param budgetTokens token budget of the program
 * @param spentTokens tokens that were used, or are counted as used after a change of holder
 * @param grantTokens tokens that the current holder may spend in addition to the spent tokens
 */
public record BudgetAccount(long budgetTokens, long spentTokens, long grantTokens) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is negative or the sum of spent and granted
     *     tokens exceeds the budget
     */
    public BudgetAccount {
        if (spentTokens < 0 || grantTokens < 0 || spentTokens + grantTokens > budgetTokens) {
            throw new IllegalArgumentException(
                    "spent %d and granted %d tokens do not fit the budget of %d"
                            .formatted(spentTokens, grantTokens, budgetTokens));
        }
    }

    /** Returns an account without spent tokens and with a first grant, limited to the budget. */
    public static BudgetAccount open(long budgetTokens, long grantTokens) {
        return new BudgetAccount(budgetTokens, 0, Math.min(grantTokens, budgetTokens));
    }

    /**
     * Returns the account with a grant of the given size, limited to the tokens that are not spent.
     */
    public BudgetAccount withGrant(long wantedTokens) {
        return new BudgetAccount(
                budgetTokens, spentTokens, Math.min(wantedTokens, budgetTokens - spentTokens));
    }

    /**
     * Returns the account after a change of holder: the previous grant counts as spent, and the new
     * holder gets a grant of at most the given size.
     */
    public BudgetAccount afterTakeover(long wantedTokens) {
        return new BudgetAccount(budgetTokens, spentTokens + grantTokens, 0)
                .withGrant(wantedTokens);
    }

    /**
     * Returns the account with the given number of tokens moved from the grant to the spent tokens.
     */
    public BudgetAccount afterSettling(long usedTokens) {
        return new BudgetAccount(budgetTokens, spentTokens + usedTokens, grantTokens - usedTokens);
    }

    /** Returns the number of tokens that are neither spent nor granted. */
    public long ungrantedTokens() {
        return budgetTokens - spentTokens - grantTokens;
    }
}
