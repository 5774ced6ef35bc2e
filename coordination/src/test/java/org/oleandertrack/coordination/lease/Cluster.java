package org.oleandertrack.coordination.lease;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.coordination.commit.GroupCommit;
import org.oleandertrack.coordination.commit.GroupCommitLimits;
import org.oleandertrack.coordination.sim.FakeStore;
import org.oleandertrack.coordination.sim.FaultInjector;
import org.oleandertrack.coordination.sim.VirtualNode;
import org.oleandertrack.coordination.sim.VirtualTime;
import org.oleandertrack.coordination.store.TimeLimitedTableStore;

/**
 * Nodes with leases and shards on the virtual clock. Checks after each event that no shard has two
 * holders and that fencing numbers rise.
 */
final class Cluster {

    static final int SHARDS = 6;

    /** One process of a node. */
    final class Node implements ShardListener {
        final VirtualNode mNode = new VirtualNode(mTime);
        final FakeStore.View mView = mStore.view(mNode);
        final GroupCommit mCommit;
        final MemberLease mLease;
        final ShardOwnership mOwnership;
        // Fencing numbers of the shards that this node holds according to the listener's events.
        final Map<Integer, Long> mAnnouncedFences = new HashMap<>();

        Node(String id) {
            LeaseSettings settings = LeaseSettings.defaults().withShards(SHARDS);
            TimeLimitedTableStore table =
                    new TimeLimitedTableStore(mView, mNode, 3 * VirtualTime.SECOND);
            mCommit =
                    new GroupCommit(
                            table,
                            mView.objects(),
                            mNode,
                            mNode::nanos,
                            mNode.random(),
                            GroupCommitLimits.defaults(),
                            "turns/" + id);
            mLease =
                    new MemberLease(
                            id, table, mCommit, mNode, mNode::nanos, mNode.random(), settings);
            mOwnership =
                    new ShardOwnership(
                            mLease,
                            table,
                            mCommit,
                            mNode,
                            mNode::nanos,
                            mNode.random(),
                            settings,
                            this);
            mCommit.start();
            mLease.start();
            mOwnership.start();
        }

        @Override
        public void onAcquired(int shard, long fence) {
            mTime.expect(
                    mAnnouncedFences.put(shard, fence) == null, "acquired twice: shard " + shard);
        }

        @Override
        public void onLost(int shard) {
            mTime.expect(mAnnouncedFences.remove(shard) != null, "lost twice: shard " + shard);
        }

        @Override
        public CompletableFuture<Void> onReleasing(int shard) {
            CompletableFuture<Void> drained = new CompletableFuture<>();
            var _ = mNode.schedule(100 * VirtualTime.MILLI, () -> drained.complete(null));
            return drained;
        }

        String describeClaim() {
            return mLease.node() + "/" + mLease.incarnation();
        }

        /** Stops gracefully, then ends the process. */
        CompletableFuture<Void> leave() {
            return mOwnership
                    .stop()
                    .thenCompose(done -> mLease.stop())
                    .thenRun(
                            () -> {
                                mNode.kill();
                                mNodes.remove(this);
                            });
        }

        void kill() {
            mNode.kill();
            mNodes.remove(this);
        }
    }

    final VirtualTime mTime;
    final FakeStore mStore;
    final List<Node> mNodes = new ArrayList<>();
    private final long[] mLastFences = new long[SHARDS];
    private final Node[] mLastHolders = new Node[SHARDS];
    private final long[] mLastIncarnations = new long[SHARDS];

    Cluster(long seed) {
        mTime = new VirtualTime(seed);
        mStore = new FakeStore(mTime);
        mTime.afterEach(this::checkOwnership);
    }

    Node add(String id) {
        Node node = new Node(id);
        mNodes.add(node);
        return node;
    }

    void runSeconds(double seconds) {
        mTime.runFor((long) (seconds * VirtualTime.SECOND));
    }

    List<FaultInjector.SimProcess> processes() {
        return mNodes.stream()
                .map(node -> new FaultInjector.SimProcess(node.mNode, node.mView))
                .toList();
    }

    /** Returns the shards that no running node holds. */
    List<Integer> unheldShards() {
        List<Integer> unheld = new ArrayList<>();
        for (int shard = 0; shard < SHARDS; shard++) {
            int number = shard;
            if (mNodes.stream().noneMatch(node -> node.mOwnership.heldFence(number).isPresent())) {
                unheld.add(shard);
            }
        }
        return unheld;
    }

    private void checkOwnership() {
        for (int shard = 0; shard < SHARDS; shard++) {
            Node holder = null;
            for (Node node : mNodes) {
                OptionalLong fence = node.mOwnership.heldFence(shard);
                if (fence.isEmpty()) {
                    continue;
                }
                if (holder != null) {
                    fail(
                            "shard "
                                    + shard
                                    + ": "
                                    + holder.describeClaim()
                                    + ", "
                                    + node.describeClaim());
                }
                holder = node;
                long incarnation = node.mLease.incarnation();
                if (node != mLastHolders[shard]
                        || incarnation != mLastIncarnations[shard]
                        || fence.getAsLong() != mLastFences[shard]) {
                    checkFenceRaised(shard, fence.getAsLong());
                }
                mLastHolders[shard] = node;
                mLastIncarnations[shard] = incarnation;
            }
        }
    }

    private void checkFenceRaised(int shard, long fence) {
        assertTrue(
                fence > mLastFences[shard],
                "fence of shard " + shard + ": " + fence + " after " + mLastFences[shard]);
        mLastFences[shard] = fence;
    }
}
