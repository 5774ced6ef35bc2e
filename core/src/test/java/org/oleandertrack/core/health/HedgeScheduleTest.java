package org.oleandertrack.core.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against second sends that are too many, too early or not allowed. */
final class HedgeScheduleTest {

    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final SendPrediction USUAL = SendPrediction.ofFactor(1);

    /**
     * Guards against extra load beyond the operator's limit, whatever the order of requests and
     * late sends: quiet times before a burst, bursts, and as many late sends as requests.
     */
    @Property(seed = "20261206", tries = 200)
    void theShareOfSecondSendsHoldsInEachWindow(
            @ForAll @IntRange(min = 0, max = 20) int perHundred, @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        HedgeSchedule schedule = new HedgeSchedule(perHundred);
        ArrayDeque<Long> requestNanos = new ArrayDeque<>();
        ArrayDeque<Long> hedgeNanos = new ArrayDeque<>();
        long requests = 0;
        long hedges = 0;
        long nowNanos = 0;
        for (int i = 0; i < 3_000; i++) {
            boolean quiet = random.nextInt(100) == 0;
            nowNanos += random.nextLong(quiet ? 2 * WINDOW_NANOS : WINDOW_NANOS / 100);
            if (random.nextBoolean()) {
                schedule.recordRequest();
                requestNanos.add(nowNanos);
                requests++;
            } else if (schedule.tryTake()) {
                hedgeNanos.add(nowNanos);
                hedges++;
            }
            dropBefore(requestNanos, nowNanos - WINDOW_NANOS);
            dropBefore(hedgeNanos, nowNanos - WINDOW_NANOS);
            double windowLimit =
                    requestNanos.size() * perHundred / 100.0 + HedgeSchedule.MAX_SAVED_HEDGES;
            assertTrue(hedgeNanos.size() <= windowLimit, hedgeNanos.size() + " in a window");
            assertTrue(hedges * 100 <= requests * perHundred, hedges + " of " + requests);
        }
        assertTrue(schedule.extraPercent() <= perHundred);
    }

    private static void dropBefore(ArrayDeque<Long> times, long startNanos) {
        while (!times.isEmpty() && times.peekFirst() < startNanos) {
            times.removeFirst();
        }
    }

    /** Guards against a second send of a request for which one is forbidden. */
    @ParameterizedTest
    @CsvSource({
        "NOT_REPEATABLE, false, false, false, false, 1, false, false, false, 500, false",
        "STORED_CONVERSATION, true, true, false, false, 1, false, false, false, 500, false",
        "RESPONSE_STARTED, true, false, true, false, 1, false, false, false, 500, false",
        "EARLIER_FAILURE, true, false, false, true, 1, false, false, false, 500, false",
        "ATTEMPTS_USED_UP, true, false, false, false, 3, false, false, false, 500, false",
        "CRASH_SUSPECT, true, false, false, false, 1, true, false, false, 500, false",
        "CALLER_REFUSED, true, false, false, false, 1, false, true, false, 500, false",
        "STOPPING, true, false, false, false, 1, false, false, true, 500, false",
        "DEADLINE_NEAR, true, false, false, false, 1, false, false, false, 49, false",
        "SERVICE_FULL, true, false, false, false, 1, false, false, false, 500, true",
        ", true, false, false, false, 2, false, false, false, 50, false"
    })
    void eachConditionDenies(
            HedgeDenial expected,
            boolean repeatable,
            boolean continuesConversation,
            boolean responseStarted,
            boolean mayHaveRun,
            int sendCount,
            boolean suspect,
            boolean callerRefused,
            boolean stopping,
            long remainingMillis,
            boolean serviceFull) {
        HedgeRequest request =
                new HedgeRequest(
                        repeatable,
                        continuesConversation,
                        responseStarted,
                        mayHaveRun,
                        sendCount,
                        3,
                        suspect,
                        callerRefused,
                        stopping,
                        remainingMillis,
                        serviceFull);
        assertEquals(Optional.ofNullable(expected), request.denial());
    }

    /** Guards against observing requests that can never be sent to a second target. */
    @Test
    void onlyRepeatableRequestsWithSeveralAttemptsAreHedged() {
        assertTrue(HedgeRequest.mayBeHedged(true, false, 2));
        assertFalse(HedgeRequest.mayBeHedged(false, false, 2));
        assertFalse(HedgeRequest.mayBeHedged(true, true, 2));
        assertFalse(HedgeRequest.mayBeHedged(true, false, 1));
    }

    /** Guards against second sends without knowledge, and against mixing the times of routes. */
    @Test
    void aSendIsLateAfterTheQuantileOfItsOwnRoute() {
        HedgeSchedule schedule = new HedgeSchedule(5);
        for (int i = 0; i < 39; i++) {
            schedule.recordTime("slow", USUAL, 1_000);
        }
        assertTrue(schedule.delayNanos("slow", USUAL).isEmpty());
        for (int i = 1; i <= 100; i++) {
            schedule.recordTime("slow", USUAL, 1_000);
            schedule.recordTime("fast", USUAL, i);
        }
        assertEquals(1_000, schedule.delayNanos("slow", USUAL).orElseThrow());
        long fastNanos = schedule.delayNanos("fast", USUAL).orElseThrow();
        assertTrue(fastNanos > 90 && fastNanos <= 95, "the latest samples count with a delay");
        assertTrue(schedule.delayNanos("other", USUAL).isEmpty());
    }

    /** Guards against second sends only because the first one is known to take long. */
    @Test
    void predictionsShiftTheTimeOfTheSecondSend() {
        HedgeSchedule schedule = new HedgeSchedule(5);
        SendPrediction shortPrompt = SendPrediction.ofMillis(20);
        SendPrediction longPrompt = SendPrediction.ofMillis(200);
        for (int i = 0; i < 100; i++) {
            schedule.recordTime("turn", shortPrompt, shortPrompt.expectedNanos() + 7);
            schedule.recordTime("call", SendPrediction.ofFactor(2), 2_000);
        }
        assertEquals(
                longPrompt.expectedNanos() + 7,
                schedule.delayNanos("turn", longPrompt).orElseThrow());
        assertEquals(1_000, schedule.delayNanos("call", USUAL).orElseThrow());
        assertEquals(
                4_000, schedule.delayNanos("call", SendPrediction.ofFactor(1e6)).orElseThrow());
    }

    /** Guards against a second prefill that takes longer than the first one is late. */
    @Test
    void theSecondSendWaitsUntilItsWorkIsWorthwhile() {
        HedgeSchedule schedule = new HedgeSchedule(5);
        SendPrediction first = SendPrediction.ofMillis(20);
        SendPrediction second = SendPrediction.ofMillis(100);
        long elapsedNanos = TimeUnit.MILLISECONDS.toNanos(60);
        assertEquals(
                TimeUnit.MILLISECONDS.toNanos(60), schedule.waitNanos(first, second, elapsedNanos));
        assertTrue(schedule.waitNanos(USUAL, USUAL, 1) <= 0);
    }

    /** Guards against memory that grows with the number of routes that were ever configured. */
    @Test
    void onlyRecentRoutesAreRemembered() {
        HedgeSchedule schedule = new HedgeSchedule(5);
        for (int route = 0; route < 200; route++) {
            for (int i = 0; i < 40; i++) {
                schedule.recordTime("route" + route, USUAL, 1_000);
            }
        }
        assertTrue(schedule.delayNanos("route0", USUAL).isEmpty());
        assertTrue(schedule.delayNanos("route199", USUAL).isPresent());
    }
}
