package org.oleandertrack.server.entry;

import java.util.Set;

/**
 * The right to dispatch a call, given by the owner of its shard. Immutable.
 *
 * @param attemptId identity of the call; each attempt adds its number
 * @param shard the program's shard
 * @param fence the holder's fencing number for the shard
 * @param startDeadlineNanos latest start of an attempt on the local monotonic clock
 * @param attainedNanos service that the program had attained before this call
 * @param classPriority operator's priority of the program class; higher is sooner
 * @param allowedTargets names of the targets that the program class may use; empty for all
 */
record DispatchGrant(
        String attemptId,
        int shard,
        long fence,
        long startDeadlineNanos,
        long attainedNanos,
        int classPriority,
        Set<String> allowedTargets) {}
