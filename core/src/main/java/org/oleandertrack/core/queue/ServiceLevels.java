package org.oleandertrack.core.queue;

/**
 * Levels of attained service time. Level 0 contains the programs below the first threshold; each
 * further threshold is {@value #GROWTH} times the previous one. Immutable.
 *
 * @param firstThresholdNanos service time at which a program leaves level 0, in nanoseconds;
 *     positive and at most one hour
 * @param count number of levels, from 1 to {@value #MAX_COUNT}
 */
public record ServiceLevels(long firstThresholdNanos, int count) {

    /** Ratio of successive thresholds. */
    public static final int GROWTH = 4;

    /**
     * Largest number of levels. It keeps the thresholds below {@link Long#MAX_VALUE} nanoseconds
     * for every allowed first threshold.
     */
    public static final int MAX_COUNT = 12;

    private static final long MAX_FIRST_THRESHOLD_NANOS = 3_600_000_000_000L;

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public ServiceLevels {
        if (firstThresholdNanos <= 0 || firstThresholdNanos > MAX_FIRST_THRESHOLD_NANOS) {
            throw new IllegalArgumentException(
                    "firstThresholdNanos is not between 1 ns and 1 h: " + firstThresholdNanos);
        }
        if (count < 1 || count > MAX_COUNT) {
            throw new IllegalArgumentException("count is not between 1 and 12: " + count);
        }
    }

    /** Returns the level of a program with the given attained service time in nanoseconds. */
    public int levelOf(long attainedNanos) {
        int level = 0;
        long threshold = firstThresholdNanos;
        while (level < count - 1 && attainedNanos >= threshold) {
            level++;
            threshold *= GROWTH;
        }
        return level;
    }

    /**
     * Returns the lower bound of a level in nanoseconds of service time, for processes that receive
     * only the level of a program.
     *
     * @throws IllegalArgumentException if there is no such level
     */
    public long lowerBoundNanos(int level) {
        if (level < 0 || level >= count) {
            throw new IllegalArgumentException("no such level: " + level);
        }
        long bound = level == 0 ? 0 : firstThresholdNanos;
        for (int i = 1; i < level; i++) {
            bound *= GROWTH;
        }
        return bound;
    }
}
