package org.oleandertrack.core.placement;

import java.util.LinkedHashMap;
import java.util.Optional;

/**
 * Which target holds the prefix of a program, as far as the holder of the program knows. The number
 * of programs is bounded; the ones unused for longest are dropped first. Lost entries cost only the
 * computation of the prefix.
 *
 * <p>Not thread-safe: the owner guards each instance with its own lock.
 */
public final class PrefixLocations {

    private final int mMaxPrograms;
    private final LinkedHashMap<String, PrefixLocation> mLocations =
            new LinkedHashMap<>(16, 0.75f, true);

    /**
     * Creates an empty register.
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

    /** Returns where the program's prefix is. */
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

    /** Drops a program that has ended or whose prefix was freed. */
    public void forget(String program) {
        mLocations.remove(program);
    }

    /** Drops the programs whose prefix was at a target that is gone. */
    public void forgetTarget(String targetId) {
        mLocations.values().removeIf(location -> location.targetId().equals(targetId));
    }
}
