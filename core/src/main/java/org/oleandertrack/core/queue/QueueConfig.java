package org.oleandertrack.core.queue;

/**
 * Settings of a {@link CallQueue}. Immutable.
 *
 * @param maxEntries largest number of waiting calls; positive
 * @param maxEntriesPerOrganisation largest number of waiting calls of one organisation; positive
 * @param maxRunning number of calls that the target runs at a time; positive
 * @param maxRunningLong number of running long calls at which no further long call is started, from
 *     1 to {@code maxRunning}
 * @param longLevel level from which a call is long; at least 1
 * @param levels the levels of attained service
 * @param agingNanos waiting time after which the rank of a call decreases by one level, in
 *     nanoseconds; positive
 * @param quantumNanos service time that an organisation of weight 1 gains in each round of {@link
 *     FairShares}, in nanoseconds; positive
 * @param sliceNanos time slice: shortest time that a call runs before it may be suspended, and that
 *     another call waits before a running one is suspended for it, in nanoseconds; positive
 */
public record QueueConfig(
        int maxEntries,
        int maxEntriesPerOrganisation,
        int maxRunning,
        int maxRunningLong,
        int longLevel,
        ServiceLevels levels,
        long agingNanos,
        long quantumNanos,
        long sliceNanos) {

    private static final long SECOND = 1_000_000_000L;

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public QueueConfig {
        requirePositive("maxEntries", maxEntries);
        requirePositive("maxEntriesPerOrganisation", maxEntriesPerOrganisation);
        requirePositive("maxRunning", maxRunning);
        requirePositive("maxRunningLong", maxRunningLong);
        requirePositive("longLevel", longLevel);
        requirePositive("agingNanos", agingNanos);
        requirePositive("quantumNanos", quantumNanos);
        requirePositive("sliceNanos", sliceNanos);
        if (maxRunningLong > maxRunning) {
            throw new IllegalArgumentException(
                    "maxRunningLong " + maxRunningLong + " exceeds maxRunning " + maxRunning);
        }
    }

    /**
     * Returns the defaults for a target that runs the given number of calls at a time. With more
     * levels, calls of similar length would keep suspending each other; with a smaller limit of
     * running long calls, slots would stay idle. The tables in docs/MEASURES.md show the cost of
     * other values.
     */
    public static QueueConfig forSlots(int maxRunning) {
        return new QueueConfig(
                1_000,
                1_000,
                maxRunning,
                Math.max(1, maxRunning - 1),
                2,
                new ServiceLevels(SECOND, 3),
                120 * SECOND,
                10 * SECOND,
                SECOND);
    }

    /** Returns a copy with other limits of the queue's length. */
    public QueueConfig withMaxEntries(int entries, int entriesPerOrganisation) {
        return new QueueConfig(
                entries,
                entriesPerOrganisation,
                maxRunning,
                maxRunningLong,
                longLevel,
                levels,
                agingNanos,
                quantumNanos,
                sliceNanos);
    }

    /** Returns a copy with another limit of running long calls and another long level. */
    public QueueConfig withLongCalls(int running, int level) {
        return new QueueConfig(
                maxEntries,
                maxEntriesPerOrganisation,
                maxRunning,
                running,
                level,
                levels,
                agingNanos,
                quantumNanos,
                sliceNanos);
    }

    /** Returns a copy with other levels. */
    public QueueConfig withLevels(ServiceLevels serviceLevels) {
        return new QueueConfig(
                maxEntries,
                maxEntriesPerOrganisation,
                maxRunning,
                maxRunningLong,
                longLevel,
                serviceLevels,
                agingNanos,
                quantumNanos,
                sliceNanos);
    }

    /** Returns a copy with another aging time and another quantum, in nanoseconds. */
    public QueueConfig withTimes(long aging, long quantum) {
        return new QueueConfig(
                maxEntries,
                maxEntriesPerOrganisation,
                maxRunning,
                maxRunningLong,
                longLevel,
                levels,
                aging,
                quantum,
                sliceNanos);
    }

    private static void requirePositive(String name, long value) {
        if (value <= 0) {
            throw new IllegalArgumentException(name + " is not positive: " + value);
        }
    }
}
