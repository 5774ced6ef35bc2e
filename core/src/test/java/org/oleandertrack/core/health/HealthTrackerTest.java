package org.oleandertrack.core.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.placement.TargetAssessment.Use;

/**
 * Guards against slow or failing targets that keep getting calls, and against setting too many
 * targets aside.
 */
final class HealthTrackerTest {

    private static final long SECOND = 1_000_000_000L;

    private final HealthTracker mTracker = new HealthTracker(HealthConfig.DEFAULT);

    @Test
    void setsSlowTargetAsideAndReturnsItAfterGoodProbe() {
        addTargets(mTracker, 6);
        observeAll(mTracker, 6, 1, 0);
        observeAll(mTracker, 6, 1, SECOND);
        assertEquals(Use.LAST_RESORT, use("t0", SECOND));
        long due = 3 * SECOND;
        assertEquals(Use.PROBE, use("t0", due));
        mTracker.recordSent("t0");
        assertEquals(
                Use.LAST_RESORT, use("t0", due), "second probe while the first is in progress");
        mTracker.recordTokenTime("t0", 10, 10_000_000, due);
        mTracker.recordSuccess("t0", SECOND, due);
        assertEquals(Use.NORMAL, use("t0", due));
    }

    @Test
    void probesMoreRarelyWhileTargetStaysSlow() {
        addTargets(mTracker, 6);
        observeAll(mTracker, 6, 1, 0);
        observeAll(mTracker, 6, 1, SECOND);
        long due = 2 * SECOND;
        assertEquals(Use.PROBE, use("t0", due));
        mTracker.recordSent("t0");
        mTracker.recordTokenTime("t0", 10, 50_000_000, due);
        mTracker.recordSuccess("t0", SECOND, due);
        assertEquals(Use.LAST_RESORT, use("t0", due + SECOND));
        assertEquals(Use.PROBE, use("t0", due + 2 * SECOND));
    }

    /** A failed probe does not end the failing state of a target; one successful probe does. */
    @Test
    void targetStaysFailingUntilProbeSucceeds() {
        addTargets(mTracker, 2);
        for (int i = 0; i < 3; i++) {
            mTracker.recordFailure("t0", 0);
            mTracker.recordFailure("t1", 0);
        }
        assertEquals(2, mTracker.failingCount(), "the number of failing targets is not bounded");
        assertEquals(Use.PROBE, use("t0", SECOND));
        mTracker.recordSent("t0");
        mTracker.recordFailure("t0", SECOND);
        assertEquals(Use.LAST_RESORT, use("t0", 2 * SECOND));
        mTracker.recordSent("t0");
        mTracker.recordSuccess("t0", SECOND, 4 * SECOND);
        assertEquals(Use.NORMAL, use("t0", 4 * SECOND));
    }

    @Test
    void fewerFailuresInARowThanTheLimitDoNotCount() {
        addTargets(mTracker, 1);
        for (int i = 0; i < 10; i++) {
            mTracker.recordFailure("t0", i);
            mTracker.recordFailure("t0", i);
            mTracker.recordSuccess("t0", SECOND, i);
        }
        assertEquals(0, mTracker.failingCount());
    }

    /**
     * Guards against probes that make up a large fraction of a small load and slow its programs
     * down.
     */
    @Test
    void probesAtMostOneCallInAHundred() {
        addTargets(mTracker, 30);
        observeAll(mTracker, 30, 8, 0);
        observeAll(mTracker, 30, 8, SECOND);
        int probes = 0;
        for (int call = 0; call < 1_000; call++) {
            long now = (10 + call) * SECOND;
            String id = "t" + call % 8;
            boolean probe = use(id, now) == Use.PROBE;
            probes += probe ? 1 : 0;
            mTracker.recordSent(probe ? id : "t20");
            mTracker.recordAbandoned(id);
        }
        assertTrue(probes >= 4 && probes <= 14, probes + " probes in 1,000 calls");
    }

    /** Guards against losing most of the capacity when many targets slow down. */
    @Property(seed = "20261204", tries = 100)
    void atMostAThirdIsSetAside(
            @ForAll @IntRange(min = 1, max = 40) int targets, @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        HealthTracker tracker = new HealthTracker(HealthConfig.DEFAULT);
        addTargets(tracker, targets);
        for (int step = 0; step < 300; step++) {
            long now = step * SECOND / 10;
            String id = "t" + random.nextInt(targets);
            int factor = random.nextInt(4) == 0 ? 20 : 1;
            tracker.recordSent(id);
            tracker.recordTokenTime(id, 10, factor * 10_000_000L, now);
            tracker.recordSuccess(id, SECOND, now);
            assertTrue(
                    tracker.setAsideCount() <= targets / 3,
                    tracker.setAsideCount() + " of " + targets + " targets are set aside");
        }
    }

    private Use use(String id, long now) {
        return mTracker.assess(id, now).use();
    }

    private static void addTargets(HealthTracker tracker, int count) {
        for (int i = 0; i < count; i++) {
            tracker.add("t" + i);
        }
        allowProbes(tracker);
    }

    /** Sends enough calls to allow four probes. */
    private static void allowProbes(HealthTracker tracker) {
        for (int i = 0; i < 400; i++) {
            tracker.recordSent("another");
        }
    }

    /** Records 1 ms per token at every target, and 5 ms at the first {@code slow} targets. */
    private static void observeAll(HealthTracker tracker, int count, int slow, long now) {
        for (int i = 0; i < count; i++) {
            tracker.recordTokenTime("t" + i, 10, (i < slow ? 5 : 1) * 10_000_000L, now);
        }
        tracker.evaluate(now);
    }

    /**
     * Guards against a target that keeps its share of the calls while it fails four in ten of them.
     */
    @Test
    void aTargetThatFailsManyCallsCountsAsFailing() {
        assertTrue(callsUntilFailing(0.4) < 8);
    }

    /**
     * Guards against giving up healthy targets: one response in twenty may be lost in production.
     */
    @Test
    void aTargetThatLosesOneResponseInTwentyIsNotFailing() {
        assertTrue(callsUntilFailing(0.05) > 40);
    }

    /** Guards against a failing target that is used again because a call sent earlier succeeds. */
    @Test
    void onlyAProbeBringsAFailingTargetBack() {
        HealthTracker tracker = trackerWithFailingFraction();
        tracker.recordFailure("t0", 0);
        tracker.recordFailure("t0", 0);
        tracker.recordSuccess("t0", SECOND, 0);
        assertTrue(tracker.isFailing("t0"));
        tracker.recordSent("t0");
        tracker.recordSuccess("t0", SECOND, SECOND);
        assertFalse(tracker.isFailing("t0"));
    }

    private static HealthTracker trackerWithFailingFraction() {
        HealthTracker tracker = new HealthTracker(HealthConfig.DEFAULT.withFailures(2, 0.35));
        tracker.add("t0");
        return tracker;
    }

    /**
     * Returns the mean number of calls until a target that fails the given fraction of its calls
     * counts as failing.
     */
    private static double callsUntilFailing(double failureFraction) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(7);
        int calls = 20_000;
        int found = 0;
        HealthTracker tracker = trackerWithFailingFraction();
        for (int i = 0; i < calls; i++) {
            if (random.nextDouble() < failureFraction) {
                tracker.recordFailure("t0", i);
            } else {
                tracker.recordSuccess("t0", SECOND, i);
            }
            if (tracker.isFailing("t0")) {
                found++;
                tracker = trackerWithFailingFraction();
            }
        }
        return (double) calls / Math.max(1, found);
    }
}
