package org.oleandertrack.coordination.spending;

/** Outcome of a reservation. */
public sealed interface SpendingResult {

    /**
     * The tokens are reserved.
     *
     * @param fromAllowance whether tokens were taken from the program's outage allowance
     */
    record Reserved(long tokens, boolean fromAllowance) implements SpendingResult {}

    /**
     * Nothing is reserved, because the remaining budget does not cover the reservation.
     *
     * @param grantedTokens tokens granted to all hosts so far
     */
    record Exhausted(long grantedTokens) implements SpendingResult {}

    /**
     * Nothing is reserved, because the store did not confirm a grant and the tokens could not be
     * taken from the outage allowance either.
     */
    record Unavailable(String reason) implements SpendingResult {}

    /**
     * Nothing is reserved, because the store takes no more writes at this rate.
     *
     * @param retryAfterMillis time after which a write would be taken, in milliseconds; 0 if it is
     *     not known
     */
    record OverRate(String reason, long retryAfterMillis) implements SpendingResult {}
}
