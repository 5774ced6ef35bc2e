package org.oleandertrack.server.entry;

import java.util.Set;
import java.util.function.LongSupplier;

/**
 * What attempts of a call carry besides the caller's request, and the bounds within which they may
 * start. For a call that needs a holder, it is created by the holder of the shard. Immutable.
 *
 * @param attemptIdPrefix common prefix of the ids of the attempts; each attempt appends its round
 *     and its number in the round
 * @param shard the shard of the call; 0 if the call needs no holder
 * @param fence the holder's fencing number of the shard; 0 if the call needs no holder
 * @param deadlineNanos deadline of the call on the local monotonic clock
 * @param leaseEndNanos supplies the end of the holder's lease on the same clock, which each renewal
 *     moves; no attempt may start after it
 * @param attainedNanos service time that the program had received before this call
 * @param classPriority priority of the program class; calls with a higher value run first
 * @param allowedTargets names of the targets that the program class may use; empty for all
 */
record DispatchContext(
        String attemptIdPrefix,
        int shard,
        long fence,
        long deadlineNanos,
        LongSupplier leaseEndNanos,
        long attainedNanos,
        int classPriority,
        Set<String> allowedTargets) {

    /** Returns the latest time at which an attempt that is sent now may start. */
    long startDeadlineNanos() {
        return Math.min(deadlineNanos, leaseEndNanos.getAsLong());
    }
}
