package org.oleandertrack.core.budget;

/**
 * The durable part of a program's budget. Immutable. Spent and granted tokens together never exceed
 * the budget, so a holder that spends only from its grant cannot overspend, and neither can the
 * next holder, which counts the grant as spent.
 *
 * @param budgetTokens budget of the program
 * @param spentTokens tokens settled or counted as spent
 * @param grantTokens tokens that the present holder may spend beyond the spent ones
 */
public record BudgetAccount(long budgetTokens, long spentTokens, long grantTokens) {

    /** Checks the bounds. */
    public BudgetAccount {
        if (spentTokens < 0 || grantTokens < 0 || spentTokens + grantTokens > budgetTokens) {
            throw new IllegalArgumentException(
                    "spent %d and granted %d tokens do not fit the budget of %d"
                            .formatted(spentTokens, grantTokens, budgetTokens));
        }
    }

    /** Returns an unspent budget with a first grant. */
    public static BudgetAccount open(long budgetTokens, long grantTokens) {
        return new BudgetAccount(budgetTokens, 0, Math.min(grantTokens, budgetTokens));
    }

    /** Returns the account with a grant of at most the wanted size. */
    public BudgetAccount withGrant(long wantedTokens) {
        return new BudgetAccount(
                budgetTokens, spentTokens, Math.min(wantedTokens, budgetTokens - spentTokens));
    }

    /** Returns the account after a new holder took it over: the open grant counts as spent. */
    public BudgetAccount takenOver(long wantedTokens) {
        return new BudgetAccount(budgetTokens, spentTokens + grantTokens, 0)
                .withGrant(wantedTokens);
    }

    /** Returns the account with tokens moved from the grant to the spent ones. */
    public BudgetAccount settled(long usedTokens) {
        return new BudgetAccount(budgetTokens, spentTokens + usedTokens, grantTokens - usedTokens);
    }

    /** Returns the tokens that are neither spent nor granted. */
    public long ungrantedTokens() {
        return budgetTokens - spentTokens - grantTokens;
    }
}
