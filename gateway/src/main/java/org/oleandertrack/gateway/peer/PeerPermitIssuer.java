package org.oleandertrack.gateway.peer;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.oleandertrack.core.rate.PermitRequest;
import org.oleandertrack.core.rate.PermitResult;
import org.oleandertrack.core.rate.TargetPacers;
import org.oleandertrack.gateway.targets.PermitIssuer;
import org.oleandertrack.telemetry.logging.EventLog;

/**
 * Takes permits from the host that paces a target for all hosts, which rendezvous hashing selects
 * among the announced ones. If that host does not respond, the next one in its order paces the
 * target. If neither responds, this host uses its even share of the target's rate. Thread-safe.
 */
public final class PeerPermitIssuer implements PermitIssuer {

    // With more candidates, hosts that reach different peers would pace a target several times.
    private static final int CANDIDATES = 2;

    private final PeerDirectory mPeers;
    private final TargetPacers mOwnPacers;
    private final TargetPacers mOwnShares;
    private final EventLog mLog;

    /**
     * Creates an issuer.
     *
     * @param ownPacers pacers of the targets that this host paces for all hosts
     */
    public PeerPermitIssuer(
            PeerDirectory peers, TargetPacers ownPacers, RandomGenerator random, EventLog log) {
        mPeers = peers;
        mOwnPacers = ownPacers;
        mOwnShares = new TargetPacers(random);
        mLog = log;
    }

    @Override
    public CompletableFuture<PermitResult> take(PermitRequest request) {
        return take(request, mPeers.pacingHostsFor(request.targetId(), CANDIDATES));
    }

    /** Forgets targets that are no longer used. To be called regularly. */
    public void dropIdle(long nowNanos) {
        mOwnPacers.dropIdle(nowNanos);
        mOwnShares.dropIdle(nowNanos);
    }

    private CompletableFuture<PermitResult> take(
            PermitRequest request, List<PacingHost> candidates) {
        if (candidates.isEmpty()) {
            return CompletableFuture.completedFuture(takeFromOwnShare(request));
        }
        return switch (candidates.getFirst()) {
            case PacingHost.Own own ->
                    CompletableFuture.completedFuture(mOwnPacers.take(request, System.nanoTime()));
            case PacingHost.Peer peer ->
                    peer.client()
                            .takePermit(PeerMessages.TakePermit.of(request))
                            .exceptionallyCompose(
                                    failure -> {
                                        logFailure(request, failure);
                                        return take(
                                                request, candidates.subList(1, candidates.size()));
                                    });
        };
    }

    private PermitResult takeFromOwnShare(PermitRequest request) {
        int hostCount = 1 + mPeers.peerCount();
        return mOwnShares.take(
                request.withRequestsPerSecond(request.requestsPerSecond() / hostCount),
                System.nanoTime());
    }

    private void logFailure(PermitRequest request, Throwable failure) {
        mLog.info("pacing host failed")
                .text("target", request.targetId())
                .text("reason", String.valueOf(failure.getMessage()))
                .write();
    }
}
