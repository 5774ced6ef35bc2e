package org.oleandertrack.coordination.sim;

import java.util.PriorityQueue;
import java.util.Random;
import org.oleandertrack.coordination.schedule.Scheduler;

/** A virtual clock that runs scheduled tasks; the seed decides the order of simultaneous tasks. */
public final class VirtualTime implements Scheduler {

    public static final long MILLI = 1_000_000L;
    public static final long SECOND = 1_000_000_000L;

    private static final class Event implements Timer, Comparable<Event> {
        private final long mAtNanos;
        private final int mOrder;
        private final Runnable mTask;
        private boolean mCancelled;

        private Event(long atNanos, int order, Runnable task) {
            mAtNanos = atNanos;
            mOrder = order;
            mTask = task;
        }

        @Override
        public void cancel() {
            mCancelled = true;
        }

        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(mAtNanos, other.mAtNanos);
            return byTime != 0 ? byTime : Integer.compare(mOrder, other.mOrder);
        }
    }

    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final Random mRandom;
    private Runnable mAfterEach = () -> {};
    private String mFailure = "";
    private long mNowNanos;

    public VirtualTime(long seed) {
        mRandom = new Random(seed);
    }

    public Random random() {
        return mRandom;
    }

    public long nowNanos() {
        return mNowNanos;
    }

    /** Sets a check that runs after every event. */
    public void afterEach(Runnable check) {
        mAfterEach = check;
    }

    /**
     * Records a failure unless the condition holds; {@link #runFor} then throws it. For callbacks,
     * whose exceptions would be lost in a future that nobody reads.
     */
    public void expect(boolean condition, String message) {
        if (!condition && mFailure.isEmpty()) {
            mFailure = message;
        }
    }

    @Override
    public Timer schedule(long delayNanos, Runnable task) {
        Event event = new Event(mNowNanos + Math.max(0, delayNanos), mRandom.nextInt(), task);
        mEvents.add(event);
        return event;
    }

    public void runFor(long nanos) {
        long end = mNowNanos + nanos;
        while (!mEvents.isEmpty() && mEvents.peek().mAtNanos <= end) {
            Event event = mEvents.poll();
            mNowNanos = event.mAtNanos;
            if (!event.mCancelled) {
                event.mTask.run();
                mAfterEach.run();
                if (!mFailure.isEmpty()) {
                    throw new AssertionError(mFailure);
                }
            }
        }
        mNowNanos = end;
        mAfterEach.run();
    }
}
