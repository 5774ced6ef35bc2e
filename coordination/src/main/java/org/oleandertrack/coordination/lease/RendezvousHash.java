package org.oleandertrack.coordination.lease;

import java.util.Collection;
import java.util.Optional;

/**
 * Assigns shards to nodes by rendezvous hashing, so that as few shards as possible move when a node
 * is added or removed.
 */
final class RendezvousHash {

    private RendezvousHash() {}

    /** Returns the node with the highest score for a shard; empty if there are no nodes. */
    static Optional<String> pick(Collection<String> nodes, int shard) {
        String best = null;
        long bestScore = 0;
        for (String node : nodes) {
            long score = score(node, shard);
            if (best == null
                    || score > bestScore
                    || (score == bestScore && node.compareTo(best) < 0)) {
                best = node;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    // FNV-1a hash of the node id, mixed with the number of the shard.
    private static long score(String node, int shard) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < node.length(); i++) {
            hash = (hash ^ node.charAt(i)) * 0x100000001b3L;
        }
        return mix(hash ^ mix(shard + 0x9e3779b97f4a7c15L));
    }

    // Finalizer of SplitMix64: similar names must not give similar scores.
    private static long mix(long value) {
        long z = value;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
