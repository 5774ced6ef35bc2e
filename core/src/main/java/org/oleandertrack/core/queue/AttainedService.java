package org.oleandertrack.core.queue;

import java.util.LinkedHashMap;

/**
 * Service time attained by programs. The holder of the programs' shard keeps it in memory only;
 * after a change of holder it starts at zero and grows with the traffic. A program that is not
 * known has attained none. The number of programs is bounded; the least recently used are dropped
 * first.
 *
 * <p>Not thread-safe: the owner guards each instance with its own lock.
 */
public final class AttainedService {

    private final int mMaxPrograms;
    private final LinkedHashMap<String, Attained> mRecords = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * Creates an empty instance.
     *
     * @param maxPrograms largest number of programs kept; positive
     * @throws IllegalArgumentException if the number is not positive
     */
    public AttainedService(int maxPrograms) {
        if (maxPrograms <= 0) {
            throw new IllegalArgumentException("maxPrograms is not positive: " + maxPrograms);
        }
        mMaxPrograms = maxPrograms;
    }

    /** Returns the service time that the program has attained, in nanoseconds. */
    public long attainedNanos(String program) {
        Attained record = mRecords.get(program);
        return record == null ? 0 : record.attainedNanos();
    }

    /**
     * Adds the service time that a call of the program attained.
     *
     * @param serviceNanos service time, in nanoseconds
     * @throws IllegalArgumentException if the service time is negative
     */
    public void add(String program, long serviceNanos, long nowNanos) {
        if (serviceNanos < 0) {
            throw new IllegalArgumentException("serviceNanos is negative: " + serviceNanos);
        }
        mRecords.put(program, new Attained(attainedNanos(program) + serviceNanos, nowNanos));
        if (mRecords.size() > mMaxPrograms) {
            mRecords.remove(mRecords.firstEntry().getKey());
        }
    }

    /** Removes a program that has ended. */
    public void forget(String program) {
        mRecords.remove(program);
    }

    /**
     * Removes the programs that attained no service for longer than the given time in nanoseconds.
     */
    public void dropIdle(long idleNanos, long nowNanos) {
        mRecords.values().removeIf(record -> nowNanos - record.changedNanos() > idleNanos);
    }

    /** Returns the number of programs. */
    public int size() {
        return mRecords.size();
    }

    private record Attained(long attainedNanos, long changedNanos) {}
}
