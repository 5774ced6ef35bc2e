package org.oleandertrack.coordination.spending;

import java.util.concurrent.CompletableFuture;

/**
 * Hands out tokens of the part of a budget that is kept back for outages of the store. For each
 * program one process is the issuer, so that hosts together stay within that part. Futures never
 * fail. Thread-safe.
 */
public interface AllowanceIssuer {

    /** Takes tokens; false if there are not enough left, or the issuer cannot be reached. */
    CompletableFuture<Boolean> take(String program, long budgetTokens, long maxTokens);

    /** Gives back tokens that were not generated. */
    void giveBack(String program, long tokens);
}
