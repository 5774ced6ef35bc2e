package org.oleandertrack.coordination.spending;

import java.util.concurrent.CompletableFuture;

/**
 * Holds the outage allowances of programs: tokens that were granted through the store before they
 * were needed. One process holds the allowance of a program and issues it to the host that a turn
 * arrives at. Tokens exist at one place at a time. If it is uncertain whether a message that moves
 * them has arrived, they are lost, so they are never spent twice. Futures never fail. Thread-safe.
 */
public interface AllowanceIssuer {

    /**
     * Moves granted tokens of this host to a program's allowance.
     *
     * @param tokens more than 0
     * @return false if the issuing process has certainly not got the tokens, so that they remain
     *     with this host
     */
    CompletableFuture<Boolean> deposit(String program, long tokens);

    /**
     * Moves tokens of a program's allowance to this host.
     *
     * @param tokens more than 0
     * @return false if the allowance does not cover the tokens or the issuing process cannot be
     *     reached
     */
    CompletableFuture<Boolean> take(String program, long tokens);
}
