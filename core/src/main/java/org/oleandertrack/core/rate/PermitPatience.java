package org.oleandertrack.core.rate;

/**
 * Longest time that a call waits until its target's rate permits it, before it is refused. Calls of
 * more urgent routes wait for longer, so that these routes get the larger part of a rate that does
 * not suffice for all. A wait beyond the latency objective is of no use to most callers, who are
 * better served by an early refusal.
 */
public final class PermitPatience {

    private static final long OBJECTIVES = 2;
    private static final int MAX_PRIORITY = 3;
    // Leaves a refused caller the time for another try.
    private static final long MAX_REMAINING_DIVISOR = 4;
    // A call that may have run cannot be refused as not run, so it waits rather than fails.
    private static final long STARTED_REMAINING_DIVISOR = 2;

    private PermitPatience() {}

    /**
     * Returns the longest wait of a call that has not run yet, in milliseconds.
     *
     * @param latencyObjectiveMillis latency up to which the response has its full value; 0 if the
     *     route states none
     * @param priority priority of the route; 0 is the most urgent
     */
    public static long maxWaitMillis(
            long latencyObjectiveMillis, int priority, long remainingMillis) {
        long maxMillis = Math.max(0, remainingMillis / MAX_REMAINING_DIVISOR);
        if (latencyObjectiveMillis <= 0) {
            return maxMillis;
        }
        long objectivesMillis =
                (OBJECTIVES * latencyObjectiveMillis) >> Math.clamp(priority, 0, MAX_PRIORITY);
        return Math.min(maxMillis, objectivesMillis);
    }

    /** Returns the longest wait of a call that may already have run, in milliseconds. */
    public static long maxWaitMillisOfStarted(long remainingMillis) {
        return Math.max(0, remainingMillis / STARTED_REMAINING_DIVISOR);
    }
}
