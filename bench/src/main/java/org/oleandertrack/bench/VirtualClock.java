package org.oleandertrack.bench;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A single-threaded queue of events in virtual time. Events of the same time run in order. */
final class VirtualClock {

    static final long MILLISECOND = 1_000_000L;
    static final long SECOND = 1_000 * MILLISECOND;

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private long mNowNanos;
    private long mSequence;

    long now() {
        return mNowNanos;
    }

    void at(long atNanos, Runnable action) {
        mEvents.add(new Event(Math.max(atNanos, mNowNanos), mSequence++, action));
    }

    void after(long delayNanos, Runnable action) {
        at(mNowNanos + delayNanos, action);
    }

    /** Runs an action at a fixed interval, until the given time. */
    void every(long intervalNanos, long untilNanos, Runnable action) {
        if (mNowNanos + intervalNanos > untilNanos) {
            return;
        }
        after(
                intervalNanos,
                () -> {
                    action.run();
                    every(intervalNanos, untilNanos, action);
                });
    }

    /** Runs all events. */
    void run() {
        runUntil(Long.MAX_VALUE);
    }

    /** Runs the events up to the given time. */
    void runUntil(long untilNanos) {
        while (!mEvents.isEmpty() && mEvents.peek().atNanos() <= untilNanos) {
            Event event = mEvents.poll();
            mNowNanos = event.atNanos();
            event.action().run();
        }
    }

    private record Event(long atNanos, long sequence, Runnable action) {}
}
