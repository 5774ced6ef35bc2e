package org.oleandertrack.core.placement;

/**
 * Ranks members for a key, so that all processes that know the same members agree on an order
 * without messages, and a member that comes or goes moves only its own keys.
 */
public final class RendezvousHash {

    private RendezvousHash() {}

    /**
     * Returns the rank of a member for a key. FNV-1a over both, finished with the mixer of
     * SplitMix64, because FNV alone spreads the last characters poorly over the high bits.
     */
    public static long rank(String key, String member) {
        long hash = 0xcbf29ce484222325L;
        hash = addTo(hash, key);
        hash = (hash ^ 0xffff) * 0x100000001b3L;
        hash = addTo(hash, member);
        hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
        return hash ^ (hash >>> 31);
    }

    private static long addTo(long hash, String text) {
        long sum = hash;
        for (int i = 0; i < text.length(); i++) {
            sum = (sum ^ text.charAt(i)) * 0x100000001b3L;
        }
        return sum;
    }
}
