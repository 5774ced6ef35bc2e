package org.oleandertrack.coordination.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.oleandertrack.coordination.store.Row;
import org.oleandertrack.coordination.store.RowJson;

/**
 * The member and shard rows as last read, and the live nodes and holders derived from them. Not
 * thread safe.
 *
 * <p>The shard rows must be read before the member rows. A node writes its member row before it
 * claims a shard, so the member rows then include the holder named by each shard row, in the
 * incarnation of the claim or a later one.
 */
final class ClusterView {

    /** A member row and the time for which it has been seen unchanged. */
    private static final class Member {
        private final UnchangedWatch mWatch = new UnchangedWatch();
        private long mVersion;
        private MemberRow mRow;
    }

    /** A shard row with its version. */
    record VersionedShardRow(long version, ShardRow row) {}

    private final Map<String, Member> mMembers = new HashMap<>();
    private final Map<Integer, VersionedShardRow> mShardRows = new HashMap<>();
    private final Map<Integer, Optional<String>> mAssignedNodes = new HashMap<>();
    private TreeSet<String> mLiveNodes = new TreeSet<>();

    /**
     * Updates the shard rows from a scan. A scanned row that is older than the known one is
     * ignored: this node has written the row since the scan read it.
     */
    void updateShards(List<Row> rows) {
        for (Row row : rows) {
            int shard = ShardRow.parseShard(row.key());
            VersionedShardRow known = mShardRows.get(shard);
            if (known == null || known.version() < row.version()) {
                putShard(shard, row.version(), RowJson.decode(row, ShardRow.class));
            }
        }
    }

    /** Updates the member rows from a scan; see {@link UnchangedWatch#onAnswer} for the times. */
    void updateMembers(List<Row> rows, long sentNanos, long answeredNanos, long maxGapNanos) {
        for (Row row : rows) {
            String node = row.key().substring(MemberRow.PREFIX.length());
            Member member = mMembers.computeIfAbsent(node, absent -> new Member());
            if (row.version() > member.mVersion) {
                member.mVersion = row.version();
                member.mRow = RowJson.decode(row, MemberRow.class);
            }
            member.mWatch.onAnswer(row.version(), sentNanos, answeredNanos, maxGapNanos);
        }
        updateLiveNodes();
    }

    /** Records a failed scan: the time until the next answer does not count as unchanged. */
    void onScanFailed() {
        mMembers.values().forEach(member -> member.mWatch.onRequestFailed());
    }

    void putShard(int shard, long version, ShardRow row) {
        mShardRows.put(shard, new VersionedShardRow(version, row));
    }

    void putMember(String node, long version, MemberRow row) {
        Member member = mMembers.get(node);
        if (member.mVersion < version) {
            member.mVersion = version;
            member.mRow = row;
            updateLiveNodes();
        }
    }

    Optional<VersionedShardRow> shardRow(int shard) {
        return Optional.ofNullable(mShardRows.get(shard));
    }

    long memberVersion(String node) {
        return mMembers.get(node).mVersion;
    }

    MemberRow memberRow(String node) {
        return mMembers.get(node).mRow;
    }

    int liveNodeCount() {
        return mLiveNodes.size();
    }

    /** Returns the nodes whose leases have expired but whose rows are not closed yet. */
    List<String> expiredNodes() {
        List<String> expired = new ArrayList<>();
        mMembers.forEach(
                (node, member) -> {
                    if (member.mRow.state() != MemberState.CLOSED
                            && member.mWatch.hasLeaseExpired(member.mRow.leaseMillis())) {
                        expired.add(node);
                    }
                });
        return expired;
    }

    /** Returns the live node that a shard is assigned to; empty if no node is live. */
    Optional<String> assignedNode(int shard) {
        return mAssignedNodes.computeIfAbsent(
                shard, absent -> RendezvousHash.pick(mLiveNodes, shard));
    }

    /**
     * Returns whether a node is open and was seen to renew its lease, which proves that it runs.
     */
    boolean wasSeenRenewing(String node) {
        Member member = mMembers.get(node);
        return member != null
                && member.mRow.state() == MemberState.OPEN
                && member.mWatch.hasChanged();
    }

    /** Returns the holder named by a shard's row, unless its lease is known to be closed. */
    Optional<ShardHolder> holder(int shard) {
        return shardRow(shard)
                .map(VersionedShardRow::row)
                .filter(row -> !row.node().isEmpty() && isOpen(row))
                .map(row -> new ShardHolder(row.node(), row.incarnation(), row.fence()));
    }

    // A closed incarnation never opens again, so shard rows that were read before the member rows
    // can be checked against the later member rows.
    private boolean isOpen(ShardRow row) {
        Member member = mMembers.get(row.node());
        return member != null
                && member.mRow.incarnation() == row.incarnation()
                && member.mRow.state() != MemberState.CLOSED;
    }

    private void updateLiveNodes() {
        TreeSet<String> live = new TreeSet<>();
        mMembers.forEach(
                (node, member) -> {
                    if (member.mRow.state() == MemberState.OPEN) {
                        live.add(node);
                    }
                });
        if (!live.equals(mLiveNodes)) {
            mLiveNodes = live;
            mAssignedNodes.clear();
        }
    }
}
