package org.oleandertrack.gateway.peer;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.oleandertrack.coordination.conversation.Conversation;
import org.oleandertrack.coordination.conversation.ConversationPeers;
import org.oleandertrack.coordination.conversation.KeptTurn;
import org.oleandertrack.coordination.conversation.TurnLookup;
import org.oleandertrack.telemetry.logging.EventLog;

/** Has turns written by other gateways, and finds turns there. Thread-safe. */
public final class PeerConversations implements ConversationPeers {

    // The store may refuse the first peer as well.
    private static final int WRITERS = 2;

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
    public CompletableFuture<Boolean> write(KeptTurn turn, int choice, long keptMillis) {
        List<PeerClient> writers = mPeers.selectedPeersFor(turn.turnId(), WRITERS);
        if (writers.isEmpty()) {
            return CompletableFuture.completedFuture(false);
        }
        AnyConfirmation confirmation = new AnyConfirmation(writers.size());
        PeerMessages.WriteTurn message = PeerMessages.WriteTurn.of(turn, choice, keptMillis);
        for (PeerClient writer : writers) {
            var _ =
                    writer.writeTurn(message)
                            .exceptionally(failure -> logFailure(turn.turnId(), "write", failure))
                            .thenAccept(confirmation::add);
        }
        return confirmation.mResult;
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

    /** Whether one of several peers has had a turn confirmed by the store. */
    private static final class AnyConfirmation {
        private final CompletableFuture<Boolean> mResult = new CompletableFuture<>();
        private final AtomicInteger mOpenCalls;

        private AnyConfirmation(int calls) {
            mOpenCalls = new AtomicInteger(calls);
        }

        private void add(boolean confirmed) {
            if (confirmed) {
                mResult.complete(true);
            }
            if (mOpenCalls.decrementAndGet() == 0) {
                mResult.complete(false);
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
