package org.oleandertrack.core.placement;

import java.util.LinkedHashMap;
import java.util.Optional;

/**
 * Map from programs to the targets that hold their prefixes, as known to the holder of the
 * programs' shard. The number of programs is bounded; the least recently used are dropped first. If
 * an entry is missing, the only effect is that the prefix may be computed again.
 *
 * <p>Not thread-safe: the owner guards each instance with its own lock.
 */
public final class PrefixLocations {

    private final int mMaxPrograms;
    private final LinkedHashMap<String, PrefixLocation> mLocations =
            new LinkedHashMap<>(16, 0.75f, true);

    /**
     * Creates an empty map.
     *
     * @param maxPrograms largest number of programs kept; positive
     * @throws IllegalArgumentException if the number is not positive
     */
    public PrefixLocations(int maxPrograms) {
        if (maxPrograms <= 0) {
            throw new IllegalArgumentException("maxPrograms is not positive: " + maxPrograms);
        }
        mMaxPrograms = maxPrograms;
    }

    /** Returns the location of the program's prefix, if known. */
    public Optional<PrefixLocation> find(String program) {
        return Optional.ofNullable(mLocations.get(program));
    }

    /** Records where the program's latest turn ran. */
    public void put(String program, PrefixLocation location) {
        mLocations.put(program, location);
        if (mLocations.size() > mMaxPrograms) {
            mLocations.remove(mLocations.firstEntry().getKey());
        }
    }

    /** Removes a program that has ended or whose prefix was freed. */
    public void forget(String program) {
        mLocations.remove(program);
    }

    /** Removes all prefixes at a target that has left. */
    public void forgetTarget(String targetId) {
        mLocations.values().removeIf(location -> location.targetId().equals(targetId));
    }
}
