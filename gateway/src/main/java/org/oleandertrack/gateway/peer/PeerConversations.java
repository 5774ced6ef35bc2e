package org.oleandertrack.gateway.peer;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.oleandertrack.coordination.conversation.Conversation;
import org.oleandertrack.coordination.conversation.ConversationPeers;
import org.oleandertrack.coordination.conversation.KeptTurn;
import org.oleandertrack.coordination.conversation.TurnLookup;
import org.oleandertrack.telemetry.logging.EventLog;

/** Keeps and finds turns at other gateways. Thread-safe. */
public final class PeerConversations implements ConversationPeers {

    // A turn survives the loss of two hosts during an outage of the store, besides its own host.
    private static final int HOLDERS = 3;
    // The response to the caller ends as soon as this many peers hold the turn.
    private static final int SUFFICIENT_HOLDERS = 2;

    private final PeerDirectory mPeers;
    private final EventLog mLog;

    /** Creates an instance that asks the peers of a directory. */
    public PeerConversations(PeerDirectory peers, EventLog log) {
        mPeers = peers;
        mLog = log;
    }

    @Override
    public int peerCount() {
        return mPeers.peerCount();
    }

    @Override
    public CompletableFuture<Integer> hold(KeptTurn turn) {
        List<PeerClient> holders = mPeers.selectedPeersFor(turn.turnId(), HOLDERS);
        if (holders.isEmpty()) {
            return CompletableFuture.completedFuture(0);
        }
        Tally tally = new Tally(holders.size());
        PeerMessages.HoldTurn message = PeerMessages.HoldTurn.of(turn);
        for (PeerClient holder : holders) {
            var _ =
                    holder.holdTurn(message)
                            .exceptionally(failure -> logFailure(turn.turnId(), "hold", failure))
                            .thenAccept(tally::add);
        }
        return tally.mHolders;
    }

    @Override
    public CompletableFuture<TurnLookup> find(String turnId, long retentionMillis) {
        List<PeerClient> peers = mPeers.peersRemembering(retentionMillis);
        Search search = new Search(peers.size());
        PeerMessages.FindTurn message = new PeerMessages.FindTurn(turnId, retentionMillis);
        for (PeerClient peer : peers) {
            var _ =
                    peer.findTurn(message)
                            .whenComplete(
                                    (answer, failure) -> {
                                        if (failure != null) {
                                            logFailure(turnId, "find", failure);
                                            search.addUnanswered();
                                        } else {
                                            search.add(answer);
                                        }
                                    });
        }
        return search.mResult;
    }

    private boolean logFailure(String turnId, String operation, Throwable failure) {
        mLog.info("peer failed")
                .text("turn", turnId)
                .text("operation", operation)
                .text("reason", String.valueOf(failure.getMessage()))
                .write();
        return false;
    }

    /** Counts the peers that hold a turn. */
    private static final class Tally {
        private final CompletableFuture<Integer> mHolders = new CompletableFuture<>();
        private int mOpenCalls;
        private int mHolding;

        private Tally(int calls) {
            mOpenCalls = calls;
        }

        private synchronized void add(boolean held) {
            mOpenCalls--;
            mHolding += held ? 1 : 0;
            if (mOpenCalls == 0 || mHolding >= SUFFICIENT_HOLDERS) {
                mHolders.complete(mHolding);
            }
        }
    }

    /** Collects the answers of all peers about one turn. */
    private static final class Search {
        private final CompletableFuture<TurnLookup> mResult = new CompletableFuture<>();
        private final AtomicInteger mOpenCalls;
        private volatile String mDoubt = "";

        private Search(int calls) {
            mOpenCalls = new AtomicInteger(calls);
            if (calls == 0) {
                mResult.complete(new TurnLookup.NotFound());
            }
        }

        private void add(PeerMessages.FoundTurn answer) {
            if (answer.found()) {
                mResult.complete(
                        new TurnLookup.Found(
                                Conversation.ofCharacters(answer.text()), TurnLookup.Source.PEER));
            }
            if (!answer.remembers()) {
                mDoubt = "a peer has not run for the retention time";
            }
            end();
        }

        private void addUnanswered() {
            mDoubt = "a peer did not answer";
            end();
        }

        private void end() {
            if (mOpenCalls.decrementAndGet() > 0) {
                return;
            }
            mResult.complete(
                    mDoubt.isEmpty()
                            ? new TurnLookup.NotFound()
                            : new TurnLookup.Unavailable(mDoubt));
        }
    }
}
