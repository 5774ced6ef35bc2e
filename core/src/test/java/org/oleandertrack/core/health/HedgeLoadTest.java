package org.oleandertrack.core.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.Test;

/**
 * Guards against second sends that do not shorten the tail, lengthen the median, or add more work
 * than is allowed. Requests arrive at targets with queues, in virtual time; a send to a target is
 * cancelled as soon as another one has been answered.
 */
final class HedgeLoadTest {

    private static final int TARGETS = 20;
    private static final int SLOTS = 4;
    private static final int REQUESTS = 60_000;
    private static final double MEAN_MILLIS = 20;
    private static final double UTILISATION = 0.4;
    private static final double SLOWDOWN = 5;
    private static final long NANOS = 1_000_000;

    /** Latencies in milliseconds, and second sends per hundred requests. */
    private record Outcome(double p50, double p99, double p999, double extraPercent) {}

    /** Guards against a tail that the slow targets determine although others are idle. */
    @Test
    void hedgesShortenTheTailOfASlowTenth() {
        Outcome off = run(0, target -> target % 10 == 0);
        Outcome few = run(2, target -> target % 10 == 0);
        Outcome more = run(5, target -> target % 10 == 0);
        String figures = off + "\n" + few + "\n" + more;
        assertEquals(0, off.extraPercent(), figures);
        assertTrue(few.extraPercent() <= 2 && more.extraPercent() <= 5, figures);
        assertTrue(few.p999() < off.p999() && more.p999() < 0.7 * off.p999(), figures);
        assertTrue(more.p99() < 0.8 * off.p99(), figures);
        assertTrue(more.p50() < 1.05 * off.p50(), figures);
    }

    /** Guards against a single slow target that determines the 99.9th percentile. */
    @Test
    void hedgesShortenTheTailOfOneSlowTarget() {
        Outcome off = run(0, target -> target == 0);
        Outcome few = run(2, target -> target == 0);
        Outcome more = run(5, target -> target == 0);
        String figures = off + "\n" + few + "\n" + more;
        assertTrue(few.extraPercent() <= 2 && more.extraPercent() <= 5, figures);
        assertTrue(few.p999() < 0.9 * off.p999() && more.p999() < 0.7 * off.p999(), figures);
        assertTrue(more.p50() < 1.05 * off.p50(), figures);
    }

    /** Guards against second sends that make targets slower that are all slow already. */
    @Test
    void hedgesStayWithinTheLimitIfAllTargetsAreSlow() {
        Outcome off = run(0, target -> true);
        Outcome few = run(2, target -> true);
        Outcome more = run(5, target -> true);
        String figures = off + "\n" + few + "\n" + more;
        assertTrue(few.extraPercent() <= 2 && more.extraPercent() <= 5, figures);
        assertTrue(more.p50() < 1.05 * off.p50() && more.p99() < 1.05 * off.p99(), figures);
    }

    private static Outcome run(int perHundred, IntPredicate isSlow) {
        return new Simulation(perHundred, isSlow).run();
    }

    /** An action at a moment of virtual time. */
    private record Event(long nanos, long order, Runnable action) {}

    /** One send of a request to a target. */
    private static final class Send {
        private final Request mRequest;
        private final int mTarget;
        private boolean mRunning;
        private boolean mCancelled;

        private Send(Request request, int target) {
            mRequest = request;
            mTarget = target;
        }
    }

    /** A request with its sends. */
    private static final class Request {
        private final List<Send> mSends = new ArrayList<>();
        private final long mStartNanos;
        private boolean mAnswered;

        private Request(long startNanos) {
            mStartNanos = startNanos;
        }
    }

    /** Targets with slots and queues, and a caller that hedges. */
    private static final class Simulation {
        private static final SendPrediction USUAL = SendPrediction.ofFactor(1);
        private static final String ROUTE = "route";

        private final HedgeSchedule mSchedule;
        private final boolean mHedging;
        private final IntPredicate mIsSlow;
        // Separate generators, so that arrivals are the same with and without second sends.
        private final SplittableRandom mArrivals = new SplittableRandom(1);
        private final SplittableRandom mWork = new SplittableRandom(2);
        private final PriorityQueue<Event> mEvents =
                new PriorityQueue<>(
                        (a, b) ->
                                a.nanos() != b.nanos()
                                        ? Long.compare(a.nanos(), b.nanos())
                                        : Long.compare(a.order(), b.order()));
        private final List<ArrayDeque<Send>> mQueues = new ArrayList<>();
        private final int[] mRunning = new int[TARGETS];
        private final double[] mLatencies = new double[REQUESTS];
        private int mAnswers;
        private long mNowNanos;
        private long mOrder;

        private Simulation(int perHundred, IntPredicate isSlow) {
            mSchedule = new HedgeSchedule(perHundred);
            mHedging = perHundred > 0;
            mIsSlow = isSlow;
            for (int i = 0; i < TARGETS; i++) {
                mQueues.add(new ArrayDeque<>());
            }
        }

        private Outcome run() {
            double slowFactor = 0;
            for (int i = 0; i < TARGETS; i++) {
                slowFactor += mIsSlow.test(i) ? 1 / SLOWDOWN : 1;
            }
            double gapMillis = MEAN_MILLIS / (slowFactor * SLOTS * UTILISATION);
            double atMillis = 0;
            for (int i = 0; i < REQUESTS; i++) {
                atMillis += exponential(mArrivals, gapMillis);
                at((long) (atMillis * NANOS), this::arrive);
            }
            while (!mEvents.isEmpty()) {
                Event event = mEvents.poll();
                mNowNanos = event.nanos();
                event.action().run();
            }
            assertEquals(REQUESTS, mAnswers, "each request is answered once");
            Arrays.sort(mLatencies);
            return new Outcome(
                    quantile(0.5), quantile(0.99), quantile(0.999), mSchedule.extraPercent());
        }

        private void arrive() {
            Request request = new Request(mNowNanos);
            mSchedule.recordRequest();
            send(request, leastLoaded(-1));
            OptionalLong delayNanos = mSchedule.delayNanos(ROUTE, USUAL);
            if (mHedging && delayNanos.isPresent()) {
                long delay = delayNanos.getAsLong();
                at(mNowNanos + delay, () -> hedge(request, delay));
            }
        }

        private void hedge(Request request, long delayNanos) {
            if (request.mAnswered) {
                return;
            }
            if (!mSchedule.tryTake()) {
                long recheckNanos = HedgeSchedule.recheckNanos(delayNanos);
                at(mNowNanos + recheckNanos, () -> hedge(request, delayNanos));
                return;
            }
            send(request, leastLoaded(request.mSends.getFirst().mTarget));
        }

        // Two random targets are compared, as by a host that knows only a part of the load.
        private int leastLoaded(int excluded) {
            int first = draw(excluded);
            int second = draw(excluded);
            return load(first) <= load(second) ? first : second;
        }

        private int draw(int excluded) {
            int target = mWork.nextInt(TARGETS);
            return target == excluded ? (target + 1) % TARGETS : target;
        }

        private int load(int target) {
            return mRunning[target] + mQueues.get(target).size();
        }

        private void send(Request request, int target) {
            Send send = new Send(request, target);
            request.mSends.add(send);
            mQueues.get(target).add(send);
            startNext(target);
        }

        private void startNext(int target) {
            ArrayDeque<Send> queue = mQueues.get(target);
            while (mRunning[target] < SLOTS && !queue.isEmpty()) {
                Send send = queue.poll();
                if (send.mCancelled) {
                    continue;
                }
                send.mRunning = true;
                mRunning[target]++;
                double millis =
                        (MEAN_MILLIS / 2 + exponential(mWork, MEAN_MILLIS / 2))
                                * (mIsSlow.test(target) ? SLOWDOWN : 1);
                at(mNowNanos + (long) (millis * NANOS), () -> complete(send));
            }
        }

        private void complete(Send send) {
            if (send.mCancelled) {
                return;
            }
            leave(send);
            Request request = send.mRequest;
            request.mAnswered = true;
            long elapsedNanos = mNowNanos - request.mStartNanos;
            mSchedule.recordTime(ROUTE, USUAL, elapsedNanos);
            mLatencies[mAnswers++] = (double) elapsedNanos / NANOS;
            for (Send other : request.mSends) {
                if (!other.equals(send)) {
                    other.mCancelled = true;
                    leave(other);
                }
            }
        }

        private void leave(Send send) {
            if (send.mRunning) {
                send.mRunning = false;
                mRunning[send.mTarget]--;
                startNext(send.mTarget);
            }
        }

        private void at(long nanos, Runnable action) {
            mEvents.add(new Event(nanos, mOrder++, action));
        }

        private double quantile(double fraction) {
            return mLatencies[(int) (fraction * (REQUESTS - 1))];
        }

        private static double exponential(SplittableRandom random, double mean) {
            return -mean * Math.log(1 - random.nextDouble());
        }
    }
}
