package org.oleandertrack.core.queue;

import java.util.LinkedHashMap;

/**
 * Service that programs have attained. It is kept by the holder of the programs' shard, is lost
 * with it and is rebuilt from traffic. A program that is not known has attained nothing. The number
 * of programs is bounded; the ones unused for longest are dropped first.
 *
 * <p>Not thread-safe: the owner guards each instance with its own lock.
 */
public final class AttainedService {

    private final int mMaxPrograms;
    private final LinkedHashMap<String, Attained> mRecords = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * Creates an empty register.
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

    /** Returns the service that the program attained, in nanoseconds. */
    public long attainedNanos(String program) {
        Attained record = mRecords.get(program);
        return record == null ? 0 : record.attainedNanos();
    }

    /**
     * Adds service that a call of the program attained.
     *
     * @throws IllegalArgumentException if the service is negative
     */
    public void add(String program, long nanos, long nowNanos) {
        if (nanos < 0) {
            throw new IllegalArgumentException("nanos is negative: " + nanos);
        }
        mRecords.put(program, new Attained(attainedNanos(program) + nanos, nowNanos));
        if (mRecords.size() > mMaxPrograms) {
            mRecords.remove(mRecords.firstEntry().getKey());
        }
    }

    /** Drops a program that has ended. */
    public void forget(String program) {
        mRecords.remove(program);
    }

    /** Drops the programs that gained nothing for longer than the given time in nanoseconds. */
    public void dropIdle(long idleNanos, long nowNanos) {
        mRecords.values().removeIf(record -> nowNanos - record.changedNanos() > idleNanos);
    }

    /** Returns the number of programs kept. */
    public int size() {
        return mRecords.size();
    }

    private record Attained(long attainedNanos, long changedNanos) {}
}
