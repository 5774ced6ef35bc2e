package org.oleandertrack.core.queue;

import java.util.Objects;

/**
 * A call that waits for a target. Immutable.
 *
 * @param id id of the attempt, unique in the queue
 * @param organisation the organisation that pays for the call
 * @param program id of the program, unique in the organisation
 * @param priority operator's priority of the program class, from {@value #MIN_PRIORITY} to {@value
 *     #MAX_PRIORITY}; higher is sooner
 * @param attainedNanos service that the program had attained before this call, in nanoseconds; the
 *     lower bound of the level when only the level is known
 * @param resumable whether the target can continue the call's stream after an interruption
 * @param latestStartNanos last moment at which the call may start, on the clock whose readings the
 *     queue is given; {@link Long#MAX_VALUE} for none
 */
public record QueuedCall(
        String id,
        String organisation,
        String program,
        int priority,
        long attainedNanos,
        boolean resumable,
        long latestStartNanos) {

    /** Lowest priority. */
    public static final int MIN_PRIORITY = -8;

    /** Highest priority. */
    public static final int MAX_PRIORITY = 8;

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if the priority or the attained service is out of range
     */
    public QueuedCall {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(program, "program");
        if (priority < MIN_PRIORITY || priority > MAX_PRIORITY) {
            throw new IllegalArgumentException("priority is not between -8 and 8: " + priority);
        }
        if (attainedNanos < 0) {
            throw new IllegalArgumentException("attainedNanos is negative: " + attainedNanos);
        }
    }
}
