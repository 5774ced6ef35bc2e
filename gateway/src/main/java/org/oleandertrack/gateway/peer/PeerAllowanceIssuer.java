package org.oleandertrack.gateway.peer;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.coordination.spending.AllowanceIssuer;
import org.oleandertrack.coordination.spending.OutageAllowances;
import org.oleandertrack.coordination.store.StoreFailures;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.telemetry.logging.EventLog;

/**
 * Holds the outage allowance of each program at one gateway, which rendezvous hashing selects among
 * all announced gateways. Gateways that know different peers may look for an allowance where it is
 * not, and then get nothing. Thread-safe.
 */
public final class PeerAllowanceIssuer implements AllowanceIssuer {

    private final PeerDirectory mPeers;
    private final OutageAllowances mOwnAllowances;
    private final EventLog mLog;

    /**
     * Creates an issuer.
     *
     * @param ownAllowances allowances that this gateway holds
     */
    public PeerAllowanceIssuer(PeerDirectory peers, OutageAllowances ownAllowances, EventLog log) {
        mPeers = peers;
        mOwnAllowances = ownAllowances;
        mLog = log;
    }

    @Override
    public CompletableFuture<Boolean> deposit(String program, long tokens) {
        Optional<PeerClient> issuer = mPeers.selectedPeerFor(program);
        if (issuer.isEmpty()) {
            mOwnAllowances.deposit(program, tokens);
            return CompletableFuture.completedFuture(true);
        }
        if (!issuer.get().isResponsive(System.nanoTime())) {
            return CompletableFuture.completedFuture(false);
        }
        return issuer.get()
                .depositAllowance(new PeerMessages.MoveAllowance(program, tokens))
                .exceptionally(
                        failure -> {
                            logFailure(program, "deposit", failure);
                            return StoreFailures.executionOf(failure) != Execution.NOT_RUN;
                        });
    }

    @Override
    public CompletableFuture<Boolean> take(String program, long tokens) {
        Optional<PeerClient> issuer = mPeers.selectedPeerFor(program);
        if (issuer.isEmpty()) {
            return CompletableFuture.completedFuture(mOwnAllowances.take(program, tokens));
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
                .takeAllowance(new PeerMessages.MoveAllowance(program, tokens))
                .exceptionally(failure -> logFailure(program, "take", failure));
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
