package org.oleandertrack.gateway.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.oleandertrack.coordination.stream.RecordedOrigin;
import org.oleandertrack.coordination.stream.StreamOrigin;
import org.oleandertrack.coordination.stream.StreamOriginPeers;
import org.oleandertrack.telemetry.logging.EventLog;

/** Holds and finds origins of streams at other gateways. Thread-safe. */
public final class PeerStreamOrigins implements StreamOriginPeers {

    // An origin survives the loss of one host during an outage of the store, besides its own host.
    private static final int HOLDERS = 2;
    // More than the holders, because gateways may disagree about which peers respond.
    private static final int ASKED_PEERS = 6;

    private final PeerDirectory mPeers;
    private final EventLog mLog;

    /** Creates an instance that asks the peers of a directory. */
    public PeerStreamOrigins(PeerDirectory peers, EventLog log) {
        mPeers = peers;
        mLog = log;
    }

    @Override
    public int peerCount() {
        return mPeers.peerCount();
    }

    @Override
    public void hold(List<RecordedOrigin> origins) {
        Map<PeerClient, List<RecordedOrigin>> originsByHolder = new HashMap<>();
        for (RecordedOrigin origin : origins) {
            for (PeerClient holder : mPeers.selectedPeersFor(origin.requestId(), HOLDERS)) {
                originsByHolder.computeIfAbsent(holder, key -> new ArrayList<>()).add(origin);
            }
        }
        originsByHolder.forEach(
                (holder, held) -> {
                    var _ =
                            holder.holdOrigins(new PeerMessages.HoldOrigins(held))
                                    .exceptionally(
                                            failure -> {
                                                logFailure("hold", failure);
                                                return 0;
                                            });
                });
    }

    @Override
    public CompletableFuture<Optional<StreamOrigin>> find(String requestId) {
        List<PeerClient> peers = mPeers.selectedPeersFor(requestId, ASKED_PEERS);
        CompletableFuture<Optional<StreamOrigin>> result = new CompletableFuture<>();
        if (peers.isEmpty()) {
            result.complete(Optional.empty());
            return result;
        }
        AtomicInteger openCalls = new AtomicInteger(peers.size());
        for (PeerClient peer : peers) {
            var _ =
                    peer.findOrigin(new PeerMessages.FindOrigin(requestId))
                            .exceptionally(
                                    failure -> {
                                        logFailure("find", failure);
                                        return Optional.empty();
                                    })
                            .thenAccept(
                                    origin -> {
                                        if (origin.isPresent()
                                                || openCalls.decrementAndGet() == 0) {
                                            result.complete(origin);
                                        }
                                    });
        }
        return result;
    }

    private void logFailure(String operation, Throwable failure) {
        mLog.info("peer failed")
                .text("operation", operation + " stream origin")
                .text("reason", String.valueOf(failure.getMessage()))
                .write();
    }
}
