package org.oleandertrack.core.rate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against more permits than the rate that a target states, and against unused rates. */
final class TargetPacersTest {

    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final double TOLERATED_RATIO = 1.5;
    private static final int TOLERATED_EXTRA = 5;

    private final TargetPacers mPacers = new TargetPacers(new Random(1));

    private static PermitRequest request(double requestsPerSecond, long maxWaitMillis) {
        return new PermitRequest("t", requestsPerSecond, 0, maxWaitMillis);
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static int mostInWindow(List<Long> sentNanos) {
        List<Long> sorted = sentNanos.stream().sorted().toList();
        int most = 0;
        int first = 0;
        for (int i = 0; i < sorted.size(); i++) {
            while (sorted.get(first) < sorted.get(i) - WINDOW_NANOS) {
                first++;
            }
            most = Math.max(most, i - first + 1);
        }
        return most;
    }

    private static void takeAt(
            TargetPacers pacers, PermitRequest request, long nowNanos, List<Long> sentNanos) {
        if (pacers.take(request, nowNanos) instanceof PermitResult.Granted granted) {
            sentNanos.add(nowNanos + nanos(granted.waitMillis()));
        }
    }

    @Test
    void permitsKeepToTheRateAndUseIt() {
        for (double rate : new double[] {0.4, 1.8, 5.2, 27.5, 400}) {
            TargetPacers pacers = new TargetPacers(new Random(2));
            Random random = new Random(3);
            List<Long> sentNanos = new ArrayList<>();
            for (int i = 0; i < 100_000; i++) {
                takeAt(pacers, request(rate, random.nextInt(200)), nanos(i / 5), sentNanos);
            }
            double seconds = 20;
            assertTrue(sentNanos.size() > 0.9 * rate * seconds - 1, rate + ": " + sentNanos.size());
            assertTrue(
                    mostInWindow(sentNanos) <= TOLERATED_RATIO * 4 * rate + TOLERATED_EXTRA,
                    rate + ": " + mostInWindow(sentNanos));
        }
    }

    /** Guards against a burst when another host takes over the pacing of a target. */
    @Test
    void aChangeOfThePacingHostDoesNotExceedTheRate() {
        for (int seed = 0; seed < 50; seed++) {
            double rate = 0.5 + seed / 3.0;
            Random random = new Random(seed);
            TargetPacers first = new TargetPacers(random);
            TargetPacers second = new TargetPacers(random);
            List<Long> sentNanos = new ArrayList<>();
            for (int i = 0; i < 60_000; i++) {
                boolean away = i > 20_000 && i < 40_000;
                takeAt(away ? second : first, request(rate, 100), nanos(i / 4), sentNanos);
            }
            assertTrue(
                    mostInWindow(sentNanos) <= TOLERATED_RATIO * 4 * rate + TOLERATED_EXTRA,
                    rate + ": " + mostInWindow(sentNanos));
        }
    }

    @Test
    void aDeniedRequestTakesNothingAndLearnsItsWait() {
        long startNanos = nanos(60_000);
        while (mPacers.take(request(2, 0), startNanos) instanceof PermitResult.Denied denied) {
            startNanos += nanos(denied.waitMillis());
        }
        PermitResult.Denied denied =
                assertInstanceOf(
                        PermitResult.Denied.class, mPacers.take(request(2, 100), startNanos));
        assertEquals(500, denied.waitMillis());
        assertEquals(new PermitResult.Granted(500), mPacers.take(request(2, 500), startNanos));
    }

    @Test
    void theLatestStatementOfTheTargetCounts() {
        mPacers.take(request(100, 10_000), nanos(10_000));
        mPacers.take(new PermitRequest("t", 1, 5_000, 10_000), nanos(10_100));
        List<Long> sentNanos = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            takeAt(mPacers, new PermitRequest("t", 1, 20_000, 0), nanos(11_000 + i), sentNanos);
        }
        assertTrue(sentNanos.size() > 90, "an old statement took effect: " + sentNanos.size());
    }

    /** Guards against a target that is never heard again once it states that it takes nothing. */
    @Test
    void aTargetThatTakesNothingStillGetsSomeRequests() {
        List<Long> sentNanos = new ArrayList<>();
        for (int i = 0; i < 20_000; i++) {
            takeAt(mPacers, request(0, 0), nanos(i), sentNanos);
        }
        assertTrue(sentNanos.size() >= 3, "permits " + sentNanos.size());
        assertTrue(mostInWindow(sentNanos) <= TOLERATED_EXTRA);
    }

    @Test
    void moreUrgentCallsWaitForLonger() {
        assertEquals(400, PermitPatience.maxWaitMillis(200, 0, 4_000));
        assertEquals(200, PermitPatience.maxWaitMillis(200, 1, 4_000));
        assertEquals(100, PermitPatience.maxWaitMillis(200, 0, 400));
        assertEquals(0, PermitPatience.maxWaitMillis(200, 0, -5));
        assertEquals(1_000, PermitPatience.maxWaitMillis(0, 2, 4_000));
        assertEquals(2_000, PermitPatience.maxWaitMillisOfStarted(4_000));
    }
}
