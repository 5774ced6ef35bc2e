package org.oleandertrack.core.placement;

/**
 * Rendezvous hashing: gives each member a rank for a key, by which the members can be ordered for
 * that key. Processes with the same members compute the same order without exchanging messages, and
 * a member that joins or leaves does not change the order of the others, so that only the keys for
 * which it is selected are affected.
 */
public final class RendezvousHash {

    private RendezvousHash() {}

    /**
     * Returns the rank of a member for a key: the FNV-1a hash of the key and the member, followed
     * by the mixing function of SplitMix64, because FNV-1a alone hardly lets the last characters
     * affect the high bits.
     */
    public static long score(String key, String member) {
        long hash = 0xcbf29ce484222325L;
        hash = addTo(hash, key);
        hash = (hash ^ 0xffff) * 0x100000001b3L;
        hash = addTo(hash, member);
        hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
        return hash ^ (hash >>> 31);
    }

    private static long addTo(long hash, String text) {
        long updated = hash;
        for (int i = 0; i < text.length(); i++) {
            updated = (updated ^ text.charAt(i)) * 0x100000001b3L;
        }
        return updated;
    }
}
