package org.oleandertrack.coordination.conversation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.coordination.sim.VirtualTime;
import org.oleandertrack.coordination.store.RowChanges;
import org.oleandertrack.coordination.store.RowPage;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.RowTransaction;
import org.oleandertrack.coordination.store.SizedRowStore;
import org.oleandertrack.coordination.store.StoreRate;
import org.oleandertrack.coordination.store.TransactionResult;

/** Three hosts that keep conversations in one store and reach each other directly. */
final class ConversationCluster {

    private static final int HOSTS = 3;

    private final VirtualTime mTime;
    private final RowStore mStore;
    private final List<Host> mHosts = new ArrayList<>();
    private final List<String> mUnreadable = new ArrayList<>();
    private boolean mPeersReachable = true;
    private OptionalInt mSilentHost = OptionalInt.empty();
    private int mPeerWrites;

    ConversationCluster(VirtualTime time, RowStore store) {
        mTime = time;
        mStore = store;
        for (int i = 0; i < HOSTS; i++) {
            mHosts.add(new Host(i));
        }
    }

    Host host(int index) {
        return mHosts.get(index);
    }

    /** Returns the ids of turns that were reported as unreadable. */
    List<String> unreadable() {
        return mUnreadable;
    }

    /** Returns how often peers were asked to write a turn. */
    int peerWrites() {
        return mPeerWrites;
    }

    /** Sets a host for which the store does not answer or execute any call. */
    void setSilentFor(int host) {
        mSilentHost = OptionalInt.of(host);
    }

    void setPeersReachable(boolean reachable) {
        mPeersReachable = reachable;
    }

    /** Replaces a host by one that knows nothing. */
    void restart(int index) {
        mHosts.set(index, new Host(index));
    }

    void restartAll() {
        for (int i = 0; i < HOSTS; i++) {
            restart(i);
        }
    }

    void runMaintenance() {
        mHosts.forEach(host -> host.service().runMaintenance());
    }

    /** A host and its view of the others. */
    final class Host implements ConversationPeers, ConversationListener {
        private final int mIndex;
        private final ConversationService mService;

        private Host(int index) {
            mIndex = index;
            mService =
                    new ConversationService(
                            new SizedRowStore(storeOf(index)),
                            StoreRate.NEVER_SHORT,
                            this,
                            mTime,
                            mTime::nowNanos,
                            () -> mTime.nowNanos() / VirtualTime.MILLI,
                            mTime.random(),
                            this,
                            ConversationLimits.DEFAULT);
        }

        ConversationService service() {
            return mService;
        }

        private RowStore storeOf(int index) {
            return new RowStore() {
                @Override
                public CompletableFuture<RowPage> read(
                        String table, String part, Optional<String> fromKey, int limit) {
                    return isSilent()
                            ? new CompletableFuture<>()
                            : mStore.read(table, part, fromKey, limit);
                }

                @Override
                public CompletableFuture<TransactionResult> apply(RowTransaction transaction) {
                    return isSilent() ? new CompletableFuture<>() : mStore.apply(transaction);
                }

                @Override
                public CompletableFuture<RowChanges> awaitChanges(
                        String table, long afterVersion, long waitMillis) {
                    return mStore.awaitChanges(table, afterVersion, waitMillis);
                }

                private boolean isSilent() {
                    return mSilentHost.isPresent() && mSilentHost.getAsInt() == index;
                }
            };
        }

        private List<Host> others() {
            return mHosts.stream().filter(host -> host.mIndex != mIndex).toList();
        }

        @Override
        public int peerCount() {
            return HOSTS - 1;
        }

        @Override
        public CompletableFuture<Boolean> write(KeptTurn turn, int choice, long keptMillis) {
            mPeerWrites++;
            if (!mPeersReachable) {
                return CompletableFuture.completedFuture(false);
            }
            return others().getFirst()
                    .service()
                    .writeForPeer(turn, choice, keptMillis)
                    .handle((receipt, failure) -> failure == null);
        }

        @Override
        public CompletableFuture<TurnLookup> find(String turnId, long retentionMillis) {
            if (!mPeersReachable) {
                return CompletableFuture.completedFuture(new TurnLookup.Unavailable("no answer"));
            }
            Optional<TurnLookup> found =
                    others().stream()
                            .map(host -> host.service().findLocally(turnId))
                            .flatMap(Optional::stream)
                            .findFirst()
                            .map(text -> new TurnLookup.Found(text, TurnLookup.Source.PEER));
            boolean certain =
                    others().stream()
                            .allMatch(host -> host.service().remembersSince(retentionMillis));
            return CompletableFuture.completedFuture(
                    found.orElse(
                            certain
                                    ? new TurnLookup.NotFound()
                                    : new TurnLookup.Unavailable("a peer is young")));
        }

        @Override
        public void onUnreadable(String turnId, String reason) {
            mUnreadable.add(turnId);
        }

        @Override
        public void onRemoved(String part, int turns) {}

        @Override
        public void onRemovalFailed(String part, String reason) {}
    }
}
