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
 * The member and shard rows as last read, and the live nodes and holders that follow from them. Not
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
    record Shard(long version, ShardRow row) {}

    private final Map<String, Member> mMembers = new HashMap<>();
    private final Map<Integer, Shard> mShards = new HashMap<>();
    private final Map<Integer, Optional<String>> mDesired = new HashMap<>();
    private TreeSet<String> mLive = new TreeSet<>();

    /**
     * Updates the shard rows from a scan. A scanned row that is older than the known one is
     * ignored: this node has written the row since the scan read it.
     */
    void takeShards(List<Row> rows) {
        for (Row row : rows) {
            int shard = ShardRow.shard(row.key());
            Shard known = mShards.get(shard);
            if (known == null || known.version() < row.version()) {
                putShard(shard, row.version(), RowJson.decode(row, ShardRow.class));
            }
        }
    }

    /** Updates the member rows from a scan; see {@link UnchangedWatch#seen} for the times. */
    void takeMembers(List<Row> rows, long sentNanos, long answeredNanos, long maxGapNanos) {
        for (Row row : rows) {
            String node = row.key().substring(MemberRow.PREFIX.length());
            Member member = mMembers.computeIfAbsent(node, absent -> new Member());
            if (row.version() > member.mVersion) {
                member.mVersion = row.version();
                member.mRow = RowJson.decode(row, MemberRow.class);
            }
            member.mWatch.seen(row.version(), sentNanos, answeredNanos, maxGapNanos);
        }
        updateLive();
    }

    /** Notes a failed scan: the time until the next answer does not count as unchanged. */
    void interrupted() {
        mMembers.values().forEach(member -> member.mWatch.interrupted());
    }

    void putShard(int shard, long version, ShardRow row) {
        mShards.put(shard, new Shard(version, row));
    }

    void putMember(String node, long version, MemberRow row) {
        Member member = mMembers.get(node);
        if (member.mVersion < version) {
            member.mVersion = version;
            member.mRow = row;
            updateLive();
        }
    }

    Optional<Shard> shard(int shard) {
        return Optional.ofNullable(mShards.get(shard));
    }

    long memberVersion(String node) {
        return mMembers.get(node).mVersion;
    }

    MemberRow memberRow(String node) {
        return mMembers.get(node).mRow;
    }

    int liveCount() {
        return mLive.size();
    }

    /** Returns the nodes whose leases have expired but whose rows are not closed yet. */
    List<String> expiredMembers() {
        List<String> expired = new ArrayList<>();
        mMembers.forEach(
                (node, member) -> {
                    if (member.mRow.state() != MemberState.CLOSED
                            && member.mWatch.expired(member.mRow.leaseMillis())) {
                        expired.add(node);
                    }
                });
        return expired;
    }

    /** Returns the live node that a shard is assigned to; empty if no node is live. */
    Optional<String> desired(int shard) {
        return mDesired.computeIfAbsent(shard, absent -> RendezvousHash.pick(mLive, shard));
    }

    /** Returns whether this process has seen the node renew its lease, so that it is running. */
    boolean provenLive(String node) {
        Member member = mMembers.get(node);
        return member != null
                && member.mRow.state() == MemberState.OPEN
                && member.mWatch.hasChanged();
    }

    /** Returns the holder named by a shard's row, unless its lease is known to be closed. */
    Optional<ShardHolder> holder(int shard) {
        return shard(shard)
                .map(Shard::row)
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

    private void updateLive() {
        TreeSet<String> live = new TreeSet<>();
        mMembers.forEach(
                (node, member) -> {
                    if (member.mRow.state() == MemberState.OPEN) {
                        live.add(node);
                    }
                });
        if (!live.equals(mLive)) {
            mLive = live;
            mDesired.clear();
        }
    }
}
