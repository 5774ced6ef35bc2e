package org.oleandertrack.coordination.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.oleandertrack.coordination.sim.FaultInjector;
import org.oleandertrack.coordination.sim.SeededRuns;
import org.oleandertrack.coordination.sim.VirtualTime;
import org.oleandertrack.coordination.store.RowJson;

final class OwnershipTest {

    private static final int SCHEDULES_PER_TRY = 500;
    private static final int REPLACED_PROCESS_RUNS_SECONDS = 8;

    /**
     * Guards against two holders of one shard, fencing numbers that do not rise, and shards that
     * still have no holder 10 s after their holder died or 1 s after it was stopped gracefully.
     */
    @Property(seed = "20261204", tries = 20, shrinking = ShrinkingMode.OFF)
    void ownershipHoldsUnderFaults(@ForAll long seed) {
        SeededRuns.run(seed, SCHEDULES_PER_TRY, OwnershipTest::runSchedule);
    }

    private static void runSchedule(long seed) {
        Cluster cluster = new Cluster(seed);
        Random random = cluster.mTime.random();
        for (String id : List.of("a", "b", "c")) {
            var _ = cluster.mTime.schedule(random.nextLong(1_000_000_000L), () -> cluster.add(id));
        }
        cluster.runSeconds(3);
        FaultInjector faults = new FaultInjector(cluster.mTime, cluster.mStore, cluster::processes);
        faults.start();
        int replacements = random.nextInt(3);
        for (int i = 0; i < replacements; i++) {
            cluster.runSeconds(random.nextDouble() * 6);
            replaceProcess(cluster, random);
        }
        cluster.runSeconds(random.nextDouble() * 10);
        faults.end();
        // A replaced process may still run for this time; its end counts as the last fault.
        cluster.runSeconds(REPLACED_PROCESS_RUNS_SECONDS);
        cluster.runSeconds(12);
        assertEquals(List.of(), cluster.unheldShards(), "12 s after the last fault");

        cluster.mNodes.get(random.nextInt(cluster.mNodes.size())).kill();
        cluster.runSeconds(10);
        assertEquals(List.of(), cluster.unheldShards(), "10 s after the death of a node");

        var _ = cluster.mNodes.getFirst().leave();
        cluster.runSeconds(1);
        assertEquals(List.of(), cluster.unheldShards(), "1 s after a graceful stop");
    }

    /**
     * Replaces a process by one with the same node id or with another one. The old process is
     * either killed at once, or cut off from the store and killed later.
     */
    private static void replaceProcess(Cluster cluster, Random random) {
        Cluster.Node old = cluster.mNodes.get(random.nextInt(cluster.mNodes.size()));
        String id = old.mLease.node();
        if (random.nextBoolean()) {
            old.kill();
        } else {
            old.mView.setCutOff(true);
            var _ =
                    cluster.mTime.schedule(
                            REPLACED_PROCESS_RUNS_SECONDS * VirtualTime.SECOND, old::kill);
        }
        cluster.add(random.nextBoolean() ? id : id + "'");
    }

    /** Guards against leases that expire in a long outage, so that shards move when it ends. */
    @Test
    void outageOfTheStoreMovesNoShard() {
        for (int seed = 0; seed < 50; seed++) {
            Cluster cluster = new Cluster(seed);
            List.of("a", "b", "c").forEach(cluster::add);
            cluster.runSeconds(10);
            Map<Integer, ShardHolder> before = holders(cluster);
            cluster.mStore.setDown(true);
            cluster.runSeconds(60);
            assertEquals(Cluster.SHARDS, cluster.unheldShards().size());
            cluster.mStore.healFaults();
            cluster.runSeconds(5);
            assertEquals(List.of(), cluster.unheldShards());
            assertEquals(before, holders(cluster), "seed " + seed);
        }
    }

    /**
     * Guards against nodes without shards, and against listener events that differ from the rows.
     */
    @Test
    void shardsSpreadOverLiveNodesAndListenerEventsMatch() {
        Cluster cluster = new Cluster(5);
        cluster.add("a");
        cluster.runSeconds(5);
        assertEquals(Cluster.SHARDS, cluster.mNodes.get(0).mAnnouncedFences.size());
        cluster.add("b");
        cluster.add("c");
        cluster.runSeconds(10);
        for (int shard = 0; shard < Cluster.SHARDS; shard++) {
            String assigned = RendezvousHash.pick(List.of("a", "b", "c"), shard).orElseThrow();
            for (Cluster.Node node : cluster.mNodes) {
                boolean holds = node.mOwnership.heldFence(shard).isPresent();
                assertEquals(node.mLease.node().equals(assigned), holds);
                assertEquals(holds, node.mAnnouncedFences.containsKey(shard));
                assertEquals(assigned, node.mOwnership.holder(shard).orElseThrow().node());
            }
        }
    }

    /** Guards against a stop that hands shards over before their running work has ended. */
    @Test
    void gracefulStopHoldsShardsUntilTheyAreDrained() {
        Cluster cluster = new Cluster(6);
        Cluster.Node only = cluster.add("a");
        cluster.runSeconds(5);
        CompletableFuture<Void> left = only.leave();
        cluster.runSeconds(0.09);
        assertEquals(List.of(), cluster.unheldShards());
        cluster.runSeconds(0.5);
        assertTrue(left.isDone());
        assertEquals(Map.of(), only.mAnnouncedFences);
        assertFalse(only.mLease.isValid());
    }

    /** Guards against a lease whose duration is measured from the reply to the renewal. */
    @Test
    void leaseCountsFromBeforeTheRenewal() {
        Cluster cluster = new Cluster(7);
        Cluster.Node node = cluster.add("a");
        cluster.mStore.setMaxLatencyNanos(1);
        cluster.runSeconds(1);
        cluster.mStore.setMaxLatencyNanos(500 * VirtualTime.MILLI);
        cluster.mTime.afterEach(
                () -> {
                    long leftNanos = node.mLease.leaseEndNanos() - node.mNode.nanos();
                    assertTrue(leftNanos < LeaseSettings.defaults().leaseNanos());
                });
        cluster.runSeconds(10);
    }

    /** Guards against a node that never gets a lease after its row was malformed for a while. */
    @Test
    void malformedMemberRowDelaysTheLease() {
        Cluster cluster = new Cluster(8);
        cluster.mStore.overwrite(MemberRow.key("a"), "not JSON");
        Cluster.Node node = cluster.add("a");
        cluster.runSeconds(3);
        assertFalse(node.mLease.isValid());
        MemberRow closed = new MemberRow(1, 1, 6_000, MemberState.CLOSED, "w");
        cluster.mStore.overwrite(MemberRow.key("a"), RowJson.encode(closed));
        cluster.runSeconds(3);
        assertEquals(List.of(), cluster.unheldShards());
    }

    private static Map<Integer, ShardHolder> holders(Cluster cluster) {
        Map<Integer, ShardHolder> holders = new TreeMap<>();
        for (int shard = 0; shard < Cluster.SHARDS; shard++) {
            holders.put(shard, cluster.mNodes.get(0).mOwnership.holder(shard).orElseThrow());
        }
        return holders;
    }
}
