package org.oleandertrack.gateway.peer;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.coordination.spending.AllowanceIssuer;
import org.oleandertrack.coordination.spending.OutageAllowances;
import org.oleandertrack.telemetry.logging.EventLog;

/**
 * Takes tokens of a program's outage allowance, which is the part of its budget that is kept back
 * for outages of the store. They are taken from the program's issuer, which is the gateway that
 * rendezvous hashing selects among all announced gateways. While gateways know different peers, a
 * program may have several issuers, and each of them hands out the whole allowance. Thread-safe.
 */
public final class PeerAllowanceIssuer implements AllowanceIssuer {

    private final PeerDirectory mPeers;
    private final OutageAllowances mOwnAllowances;
    private final EventLog mLog;

    /**
     * Creates an issuer.
     *
     * @param ownAllowances allowances of the programs for which this gateway is the issuer
     */
    public PeerAllowanceIssuer(PeerDirectory peers, OutageAllowances ownAllowances, EventLog log) {
        mPeers = peers;
        mOwnAllowances = ownAllowances;
        mLog = log;
    }

    @Override
    public CompletableFuture<Boolean> take(String program, long budgetTokens, long maxTokens) {
        Optional<PeerClient> issuer = mPeers.selectedPeerFor(program);
        if (issuer.isEmpty()) {
            return CompletableFuture.completedFuture(
                    mOwnAllowances.take(program, budgetTokens, maxTokens));
        }
        if (!issuer.get().isResponsive(System.nanoTime())) {
            return CompletableFuture.completedFuture(
                    logFailure(
                            program,
                            "take",
                            new IOException(
                                    "the issuing gateway did not respond to the last call")));
        }
        return issuer.get()
                .takeAllowance(new PeerMessages.TakeAllowance(program, budgetTokens, maxTokens))
                .exceptionally(failure -> logFailure(program, "take", failure));
    }

    @Override
    public void returnTokens(String program, long tokens) {
        Optional<PeerClient> issuer = mPeers.selectedPeerFor(program);
        if (issuer.isEmpty()) {
            mOwnAllowances.returnTokens(program, tokens);
            return;
        }
        var _ =
                issuer.get()
                        .returnAllowance(new PeerMessages.ReturnAllowance(program, tokens))
                        .exceptionally(failure -> logFailure(program, "return", failure));
    }

    private boolean logFailure(String program, String operation, Throwable failure) {
        mLog.info("issuer of the outage allowance failed")
                .text("program", program)
                .text("operation", operation)
                .text("reason", String.valueOf(failure.getMessage()))
                .write();
        return false;
    }
}
