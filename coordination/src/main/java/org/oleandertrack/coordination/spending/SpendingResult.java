package org.oleandertrack.coordination.spending;

/** Outcome of a reservation. */
public sealed interface SpendingResult {

    /**
     * The tokens are reserved.
     *
     * @param fromAllowance whether they come from the outage allowance and not from a grant
     */
    record Reserved(long tokens, boolean fromAllowance) implements SpendingResult {}

    /**
     * The rest of the budget does not cover the reservation.
     *
     * @param grantedTokens tokens granted to all hosts so far
     */
    record Exhausted(long grantedTokens) implements SpendingResult {}

    /** The store did not answer, so nothing is reserved. */
    record Unavailable(String reason) implements SpendingResult {}
}
