package org.oleandertrack.core.turn;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against times that are learned from what does not show a target's lasting speed. */
final class LearnedTimesTest {

    private static final int SLOTS = 12;
    private static final int MISSING_TOKENS = 800;

    private final LearnedTimes mTimes = new LearnedTimes(EngineTimes.DEFAULT);
    private final List<TargetTimes> mTargets = new ArrayList<>();
    private long mNowNanos = 1_000_000;

    LearnedTimesTest() {
        for (int i = 0; i < 6; i++) {
            mTargets.add(mTimes.add());
        }
    }

    private void record(
            TargetTimes target, EngineTimes times, ReportedLoad load, boolean complete) {
        double firstEventMillis =
                times.startDelayMillis()
                        + times.prefillMillis(MISSING_TOKENS)
                        + times.stepMillis(4);
        mNowNanos += TimeUnit.MILLISECONDS.toNanos(100);
        mTimes.recordTurn(
                target,
                new TurnObservation(
                        load,
                        4,
                        MISSING_TOKENS,
                        false,
                        OptionalDouble.of(firstEventMillis * load.slowness()),
                        OptionalDouble.of(times.stepMillis(4) * load.slowness()),
                        complete),
                SLOTS,
                1,
                1,
                mNowNanos);
    }

    private void record(TargetTimes target, double factor) {
        record(target, EngineTimes.DEFAULT.scaled(factor, factor), load(1), true);
    }

    private static ReportedLoad load(double slowness) {
        return new ReportedLoad(4, 0, SLOTS, slowness);
    }

    private void recordAll(int rounds, double... factors) {
        for (int round = 0; round < rounds; round++) {
            for (int i = 0; i < mTargets.size(); i++) {
                record(mTargets.get(i), factors[i % factors.length]);
            }
        }
    }

    private double factor(int target) {
        return mTargets.get(target).engineFactor(mNowNanos);
    }

    @Test
    void oneOddAnswerChangesNothing() {
        record(mTargets.getFirst(), 10);
        assertSame(EngineTimes.DEFAULT, mTargets.getFirst().engineTimes(mNowNanos));
        recordAll(5, 1);
        record(mTargets.getFirst(), 0.1);
        assertSame(EngineTimes.DEFAULT, mTargets.getFirst().engineTimes(mNowNanos));
    }

    @Test
    void threeAnswersTellFastFromSlowTargets() {
        recordAll(3, 1, 0.6, 1.6);
        assertEquals(1, factor(0));
        assertEquals(0.6, factor(1), 0.05);
        assertEquals(1.6, factor(2), 0.1);
    }

    @Test
    void timesNearTheConstantsLeaveThemInForce() {
        recordAll(30, 1.08, 0.93, 1.05);
        for (TargetTimes target : mTargets) {
            assertSame(EngineTimes.DEFAULT, target.engineTimes(mNowNanos));
        }
    }

    @Test
    void aNewTargetStartsFromTheServicesMean() {
        recordAll(4, 1.3);
        EngineTimes times = mTimes.add().engineTimes(mNowNanos);
        assertEquals(1.3, times.stepMillis(4) / EngineTimes.DEFAULT.stepMillis(4), 0.1);
        assertEquals(1, factor(0));
    }

    @Test
    void startAndPrefillAreToldApart() {
        EngineTimes fastPrefill = new EngineTimes(3.55, 0.0462, 157, 26);
        Random random = new Random(3);
        for (int i = 0; i < 1_000; i++) {
            int missingTokens = random.nextInt(4_000);
            double firstEventMillis = 26 + missingTokens / 157.0 + 1.5 * fastPrefill.stepMillis(4);
            mTimes.recordTurn(
                    mTargets.get(i % 6),
                    new TurnObservation(
                            load(1),
                            4,
                            missingTokens,
                            false,
                            OptionalDouble.of(firstEventMillis),
                            OptionalDouble.of(fastPrefill.stepMillis(4)),
                            true),
                    SLOTS,
                    1,
                    1,
                    mNowNanos++);
        }
        EngineTimes learned = mTimes.engineTimes();
        assertEquals(157, learned.prefillTokensPerMilli(), 30);
        assertEquals(26, learned.startDelayMillis(), 4);
    }

    @Test
    void reportedSlownessIsNotLearnedAsALastingFactor() {
        for (int i = 0; i < 9; i++) {
            record(mTargets.getFirst(), EngineTimes.DEFAULT, load(2.5), true);
            record(mTargets.get(1), EngineTimes.DEFAULT, load(1.15), true);
            // The slowness is reported, but the target is not slow.
            record(mTargets.get(2), EngineTimes.DEFAULT.scaled(0.4, 0.4), load(2.5), true);
        }
        recordAll(1, 1);
        assertEquals(1, factor(0));
        assertEquals(1, factor(1));
        assertEquals(1, factor(2));
    }

    @Test
    void waitingAtAFullEngineIsNotLearnedAsPrefill() {
        recordAll(3, 1);
        EngineTimes waiting = EngineTimes.DEFAULT.scaled(1, 6);
        for (int i = 0; i < 20; i++) {
            record(mTargets.getFirst(), waiting, new ReportedLoad(SLOTS, 3, SLOTS, 1), true);
        }
        assertEquals(
                EngineTimes.DEFAULT.startDelayMillis(), mTimes.engineTimes().startDelayMillis());
        assertEquals(
                mTimes.engineTimes().startDelayMillis(),
                mTargets.getFirst().engineTimes(mNowNanos).startDelayMillis(),
                1);
    }

    @Test
    void lateFirstEventsOfATargetThatClaimsToHaveRoomCountAgainstIt() {
        recordAll(3, 1);
        for (int i = 0; i < 5; i++) {
            record(mTargets.getFirst(), EngineTimes.DEFAULT.scaled(1, 6), load(1), true);
        }
        EngineTimes times = mTargets.getFirst().engineTimes(mNowNanos);
        assertTrue(times.startDelayMillis() > 50, times.toString());
    }

    @Test
    void unfinishedAnswersMakeATargetSlowerButNotFaster() {
        recordAll(5, 1);
        EngineTimes fast = EngineTimes.DEFAULT.scaled(0.3, 0.3);
        EngineTimes slow = EngineTimes.DEFAULT.scaled(2, 2);
        for (int i = 0; i < 9; i++) {
            record(mTargets.getFirst(), fast, load(1), false);
            record(mTargets.get(1), slow, load(1), false);
        }
        assertEquals(1, factor(0));
        assertEquals(2, factor(1), 0.1);
    }

    @Test
    void aTargetWithoutRecentAnswersIsTriedAgain() {
        recordAll(9, 1, 1, 1.6);
        assertEquals(1.6, factor(2), 0.1);
        mNowNanos += TimeUnit.SECONDS.toNanos(300);
        assertEquals(1, factor(2));
    }

    @Test
    void responseTimesOfPlainTargetsAreComparedWithTheirRoute() {
        Random random = new Random(4);
        double[] factors = {1, 0.6, 1.6};
        for (int i = 0; i < 300; i++) {
            TargetTimes target = mTargets.get(i % 6);
            boolean longRoute = random.nextBoolean();
            double millis = (longRoute ? 900 : 90) * Math.exp(0.3 * random.nextGaussian());
            mNowNanos += TimeUnit.MILLISECONDS.toNanos(20);
            mTimes.recordCall(
                    target,
                    longRoute ? "long" : "short",
                    millis * factors[i % 3],
                    new ReportedLoad(1, 0, 6, 1),
                    6,
                    mNowNanos);
        }
        assertEquals(1, mTargets.get(0).callFactor(mNowNanos));
        assertEquals(0.6, mTargets.get(1).callFactor(mNowNanos), 0.2);
        assertEquals(1.6, mTargets.get(2).callFactor(mNowNanos), 0.35);
    }
}
