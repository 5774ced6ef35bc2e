package org.oleandertrack.server.entry;

import java.util.Set;
import java.util.function.LongSupplier;

/**
 * The right to dispatch a call, given by the owner of its shard. Immutable.
 *
 * @param attemptId identity of the call; each attempt adds its number
 * @param shard the program's shard
 * @param fence the holder's fencing number for the shard
 * @param deadlineNanos end of the caller's patience on the local monotonic clock
 * @param leaseEndNanos end of the holder's lease on the same clock, which moves with each renewal;
 *     no attempt may start after it
 * @param attainedNanos service that the program had attained before this call
 * @param classPriority operator's priority of the program class; higher is sooner
 * @param allowedTargets names of the targets that the program class may use; empty for all
 */
record DispatchGrant(
        String attemptId,
        int shard,
        long fence,
        long deadlineNanos,
        LongSupplier leaseEndNanos,
        long attainedNanos,
        int classPriority,
        Set<String> allowedTargets) {

    /** Returns the latest start of an attempt that is sent now. */
    long startDeadlineNanos() {
        return Math.min(deadlineNanos, leaseEndNanos.getAsLong());
    }
}
