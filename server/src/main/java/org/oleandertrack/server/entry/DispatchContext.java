package org.oleandertrack.server.entry;

import java.util.Set;
import java.util.function.LongSupplier;

/**
 * The values that the attempts of a call carry in addition to the caller's request, and the limits
 * on when they may start. For a call that needs a holder, it is created by the holder of the shard.
 * Immutable.
 *
 * @param attemptIdPrefix common prefix of the ids of the attempts; each attempt appends its round
 *     and its number in the round
 * @param shard the shard of the call; 0 if the call needs no holder
 * @param fence the holder's fencing number of the shard; 0 if the call needs no holder
 * @param deadlineNanos deadline of the call on the local monotonic clock
 * @param leaseEndNanos supplies the current end of the holder's lease on the same clock; each
 *     renewal of the lease moves it, and no attempt may start after it
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
