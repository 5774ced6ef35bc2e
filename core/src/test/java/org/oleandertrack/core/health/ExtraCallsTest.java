package org.oleandertrack.core.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.result.Execution;

/** Guards against hedges and retries that add load while targets are already failing or slow. */
final class ExtraCallsTest {

    private static final long MILLISECOND = 1_000_000;

    /** Guards against a retry storm when every attempt of every call fails or is late. */
    @Property(seed = "20261204", tries = 50)
    void extraCallsStayWithinTheirLimitsWhenEverythingFails(
            @ForAll @IntRange(min = 1, max = 5_000) int calls, @ForAll long seed) {
        RetryPolicy retries =
                new RetryPolicy(MILLISECOND, 100 * MILLISECOND, 5, new SplittableRandom(seed));
        HedgePolicy hedges = new HedgePolicy();
        int retried = 0;
        int hedged = 0;
        for (int i = 0; i < calls; i++) {
            retries.recordCall();
            hedges.recordCall();
            int attempts = 1;
            while (retries.decideRetry(attempts, Execution.UNKNOWN, true)
                    instanceof RetryDecision.Retry) {
                attempts++;
                retried++;
            }
            hedged += hedges.tryHedge(true, 2, 1) ? 1 : 0;
        }
        assertTrue(retried <= calls * 4 / 100, retried + " retries for " + calls + " calls");
        assertTrue(hedged <= calls * 5 / 100, hedged + " hedges for " + calls + " calls");
    }

    /**
     * Guards against retries that arrive at the same time: the delays are spread over the whole
     * range.
     */
    @Property(seed = "20261204", tries = 20)
    void waitsAreSpreadBelowADoublingBound(@ForAll long seed) {
        RetryPolicy retries =
                new RetryPolicy(MILLISECOND, 3 * MILLISECOND, 9, new SplittableRandom(seed));
        long[] bounds = {MILLISECOND, 2 * MILLISECOND, 3 * MILLISECOND, 3 * MILLISECOND};
        for (int attempts = 1; attempts <= bounds.length; attempts++) {
            double sum = 0;
            int draws = 400;
            for (int i = 0; i < draws; i++) {
                for (int call = 0; call < 25; call++) {
                    retries.recordCall();
                }
                RetryDecision decision = retries.decideRetry(attempts, Execution.UNKNOWN, true);
                long delay = ((RetryDecision.Retry) decision).delayNanos();
                assertTrue(delay >= 0 && delay <= bounds[attempts - 1]);
                sum += delay;
            }
            assertEquals(0.5, sum / draws / (double) bounds[attempts - 1], 0.1);
        }
    }

    /** Guards against running a call twice that may not be repeated. */
    @Test
    void neverRepeatsWhatMayHaveRun() {
        RetryPolicy retries = new RetryPolicy(1, 1, 5, new SplittableRandom(1));
        HedgePolicy hedges = new HedgePolicy();
        for (int i = 0; i < 200; i++) {
            retries.recordCall();
            hedges.recordCall();
        }
        assertEquals(new RetryDecision.GiveUp(), retries.decideRetry(1, Execution.UNKNOWN, false));
        assertEquals(new RetryDecision.GiveUp(), retries.decideRetry(1, Execution.RUN, false));
        assertTrue(retries.decideRetry(1, Execution.NOT_RUN, false) instanceof RetryDecision.Retry);
        assertFalse(hedges.tryHedge(false, 2, 1));
        assertFalse(hedges.tryHedge(true, 2, 3), "the second attempt takes longer");
        assertTrue(hedges.tryHedge(true, 2, 1));
    }

    @Test
    void hedgesCallsThatAreLaterThanP95AndThanTheCostOfRepeating() {
        HedgePolicy hedges = new HedgePolicy();
        for (int i = 1; i < 40; i++) {
            hedges.recordAttempt(0, i);
        }
        assertTrue(hedges.delayNanos(0, 0).isEmpty());
        for (int i = 0; i < 10; i++) {
            for (int value = 1; value <= 100; value++) {
                hedges.recordAttempt(1_000, 1_000 + value);
            }
        }
        assertEquals(595L, hedges.delayNanos(500, 0).orElseThrow());
        assertEquals(
                700L,
                hedges.delayNanos(500, 200).orElseThrow(),
                "repeated work takes longer than the 95th percentile");
    }
}
