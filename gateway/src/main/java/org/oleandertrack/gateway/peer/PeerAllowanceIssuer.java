package org.oleandertrack.gateway.peer;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.coordination.spending.AllowanceIssuer;
import org.oleandertrack.coordination.spending.OutageAllowance;
import org.oleandertrack.telemetry.logging.EventLog;

/**
 * Takes outage allowances from the gateway that is the program's issuer: the first of all announced
 * gateways in the program's rendezvous order. Gateways that know different peers may choose
 * different issuers for a while; then each hands out the allowance once. Thread-safe.
 */
public final class PeerAllowanceIssuer implements AllowanceIssuer {

    private final PeerDirectory mPeers;
    private final OutageAllowance mOwn;
    private final EventLog mLog;

    /** Creates an issuer; programs that fall to this gateway are served from its own allowance. */
    public PeerAllowanceIssuer(PeerDirectory peers, OutageAllowance own, EventLog log) {
        mPeers = peers;
        mOwn = own;
        mLog = log;
    }

    @Override
    public CompletableFuture<Boolean> take(String program, long budgetTokens, long maxTokens) {
        Optional<PeerClient> issuer = mPeers.chosenFor(program);
        if (issuer.isEmpty()) {
            return CompletableFuture.completedFuture(mOwn.take(program, budgetTokens, maxTokens));
        }
        if (!issuer.get().answers(System.nanoTime())) {
            return CompletableFuture.completedFuture(
                    failed(program, "take", new IOException("did not answer a moment ago")));
        }
        return issuer.get()
                .takeAllowance(new PeerMessages.TakeAllowance(program, budgetTokens, maxTokens))
                .exceptionally(failure -> failed(program, "take", failure));
    }

    @Override
    public void giveBack(String program, long tokens) {
        Optional<PeerClient> issuer = mPeers.chosenFor(program);
        if (issuer.isEmpty()) {
            mOwn.giveBack(program, tokens);
            return;
        }
        var _ =
                issuer.get()
                        .returnAllowance(new PeerMessages.ReturnAllowance(program, tokens))
                        .exceptionally(failure -> failed(program, "return", failure));
    }

    private boolean failed(String program, String what, Throwable failure) {
        mLog.info("issuer of the outage allowance failed")
                .text("program", program)
                .text("operation", what)
                .text("reason", String.valueOf(failure.getMessage()))
                .write();
        return false;
    }
}
