package org.oleandertrack.coordination.spending;

import java.util.concurrent.CompletableFuture;

/**
 * Issues tokens from the outage allowances of programs. A program's outage allowance is the part of
 * its budget that is reserved for turns that run while the store does not answer. One process
 * issues the allowance of a program to all hosts, so that the hosts together stay within it.
 * Futures never fail. Thread-safe.
 */
public interface AllowanceIssuer {

    /**
     * Takes tokens from a program's allowance.
     *
     * @param budgetTokens budget of the program, which determines the size of its allowance
     * @param maxTokens tokens to take: the largest number that the turn may generate
     * @return false if the allowance does not cover the tokens or the issuing process cannot be
     *     reached
     */
    CompletableFuture<Boolean> take(String program, long budgetTokens, long maxTokens);

    /** Gives tokens that were taken but not generated back to the program's allowance. */
    void returnTokens(String program, long tokens);
}
