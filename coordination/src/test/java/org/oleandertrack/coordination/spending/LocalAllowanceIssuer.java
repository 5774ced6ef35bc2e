package org.oleandertrack.coordination.spending;

import java.util.concurrent.CompletableFuture;

/** An issuer in the test's process. */
record LocalAllowanceIssuer(OutageAllowances allowances) implements AllowanceIssuer {

    @Override
    public CompletableFuture<Boolean> deposit(String program, long tokens) {
        allowances.deposit(program, tokens);
        return CompletableFuture.completedFuture(true);
    }

    @Override
    public CompletableFuture<Boolean> take(String program, long tokens) {
        return CompletableFuture.completedFuture(allowances.take(program, tokens));
    }
}
