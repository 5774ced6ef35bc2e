package org.oleandertrack.core.queue;

import java.util.Objects;

/**
 * A call that waits for a target. Immutable.
 *
 * @param id id of the attempt, unique in the queue
 * @param organisation the organisation that is charged for the call
 * @param program id of the program, unique in the organisation
 * @param priority priority that the operator gave to the program's class, from {@value
 *     #MIN_PRIORITY} to {@value #MAX_PRIORITY}; calls with higher values start first, unlike in the
 *     class attribute, where lower values come first
 * @param attainedNanos service time that the program attained before this call, in nanoseconds; if
 *     only the level is known, the lower bound of the level
 * @param resumable whether the target can resume the call's stream after a suspension
 * @param latestStartNanos last moment at which the call may start, in nanoseconds on the clock of
 *     the queue's owner; {@link Long#MAX_VALUE} if it may start at any time
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
     * @throws IllegalArgumentException if the priority or the attained service time is out of range
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
