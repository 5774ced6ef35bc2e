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
 * The member and shard rows as last read, and what follows from them. Not thread safe.
 *
 * <p>The shards must be read before the members: the holder that a shard row names was registered
 * before the claim, so the members read later show its row, in that incarnation or a later one.
 */
final class ClusterView {

    /** A member row and for how long it has been watched. */
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

    /** Takes a scan of the shards; a row read before this node's own later write is ignored. */
    void takeShards(List<Row> rows) {
        for (Row row : rows) {
            int shard = ShardRow.shard(row.key());
            Shard known = mShards.get(shard);
            if (known == null || known.version() < row.version()) {
                putShard(shard, row.version(), RowJson.decode(row, ShardRow.class));
            }
        }
    }

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

    /** Takes a scan that failed: the time up to the next answer does not count. */
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

    /** Returns the nodes whose leases have run out although their rows are not closed. */
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

    /** Returns the node that is to hold a shard. */
    Optional<String> desired(int shard) {
        return mDesired.computeIfAbsent(shard, absent -> RendezvousHash.pick(mLive, shard));
    }

    /** Returns whether a node was seen to renew, so that it is worth handing it a shard. */
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

    // A closed incarnation is never open again, so this stays true for the shard rows read before.
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
