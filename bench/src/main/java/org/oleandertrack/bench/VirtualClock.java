package org.oleandertrack.bench;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A clock of a discrete-event simulation: it runs scheduled actions in the order of their virtual
 * time, and actions of the same time in the order in which they were scheduled. Not thread safe.
 */
final class VirtualClock {

    /** Number of nanoseconds in a millisecond. */
    static final long MILLISECOND = 1_000_000L;

    /** Number of nanoseconds in a second. */
    static final long SECOND = 1_000 * MILLISECOND;

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private long mNowNanos;
    private long mNextSequence;

    long nowNanos() {
        return mNowNanos;
    }

    /** Schedules an action for the given time, or for the current time if that has passed. */
    void scheduleAt(long atNanos, Runnable action) {
        mEvents.add(new Event(Math.max(atNanos, mNowNanos), mNextSequence++, action));
    }

    void scheduleAfter(long delayNanos, Runnable action) {
        scheduleAt(mNowNanos + delayNanos, action);
    }

    /**
     * Schedules an action at a fixed interval. The first run is one interval from now, and the last
     * one is not after {@code untilNanos}.
     */
    void scheduleEvery(long intervalNanos, long untilNanos, Runnable action) {
        if (mNowNanos + intervalNanos > untilNanos) {
            return;
        }
        scheduleAfter(
                intervalNanos,
                () -> {
                    action.run();
                    scheduleEvery(intervalNanos, untilNanos, action);
                });
    }

    /** Runs scheduled actions until none is left. */
    void run() {
        runUntil(Long.MAX_VALUE);
    }

    /** Runs the actions that are scheduled up to and including the given time. */
    void runUntil(long untilNanos) {
        while (!mEvents.isEmpty() && mEvents.peek().atNanos() <= untilNanos) {
            Event event = mEvents.poll();
            mNowNanos = event.atNanos();
            event.action().run();
        }
    }

    private record Event(long atNanos, long sequence, Runnable action) {}
}
