package org.oleandertrack.coordination.schedule;

/** Runs tasks after a delay. Tasks must not block. Thread safe. */
public interface Scheduler {

    /** A task that has been scheduled. */
    interface Timer {

        /** Prevents the task from starting; has no effect once it has started. */
        void cancel();
    }

    /**
     * Schedules a task once.
     *
     * @param delayNanos delay in nanoseconds; 0 or less runs the task as soon as possible, but
     *     never inside this call
     */
    Timer schedule(long delayNanos, Runnable task);
}
