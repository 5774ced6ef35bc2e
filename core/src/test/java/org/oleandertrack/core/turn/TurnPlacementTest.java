package org.oleandertrack.core.turn;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.placement.HealthView;

/**
 * Guards against turns that are placed on slow hosts or in full batches, or whose prompts are
 * prefilled again.
 */
final class TurnPlacementTest {

    private static final long NOW = TimeUnit.SECONDS.toNanos(100);
    private static final TurnRequest TURN =
            new TurnRequest(
                    3_000,
                    List.of(new PromptPart("shared", 2_500), new PromptPart("own", 500)),
                    35,
                    "");

    private final ServiceLoad mService = new ServiceLoad();
    private final LearnedTimes mTimes = new LearnedTimes(EngineTimes.DEFAULT);
    private final TargetState mNear =
            new TargetState(
                    "near", "z1", 12, 100_000, mService, mTimes.add(), HealthView.ALL_HEALTHY);
    private final TargetState mFar =
            new TargetState(
                    "far", "z2", 12, 100_000, mService, mTimes.add(), HealthView.ALL_HEALTHY);
    private final TurnPlacement mPlacement = new TurnPlacement("z1");

    private String choose() {
        return mPlacement
                .choose(List.of(mNear, mFar), TURN, Set.of(), NOW)
                .orElseThrow()
                .targetId();
    }

    @Test
    void equalTargetsOfTheOwnZoneComeFirst() {
        assertEquals("near", choose());
    }

    @Test
    void theEngineThatHasCachedThePromptIsPreferred() {
        mFar.prefixCache().recordPrefill(TURN.parts());
        assertEquals("far", choose());
    }

    @Test
    void hostsWithoutObservationsSendAProgramsTurnsToOneEngine() {
        for (int program = 0; program < 20; program++) {
            TurnRequest later = new TurnRequest(3_000, TURN.parts(), 35, "program-" + program);
            String first = chooseFor(later, "z1");
            assertEquals(first, chooseFor(later, "z2"));
        }
    }

    private static String chooseFor(TurnRequest turn, String zone) {
        return new TurnPlacement(zone)
                .choose(
                        List.of(
                                new TargetState(
                                        "near",
                                        "z1",
                                        12,
                                        100_000,
                                        new ServiceLoad(),
                                        new LearnedTimes(EngineTimes.DEFAULT).add(),
                                        HealthView.ALL_HEALTHY),
                                new TargetState(
                                        "far",
                                        "z2",
                                        12,
                                        100_000,
                                        new ServiceLoad(),
                                        new LearnedTimes(EngineTimes.DEFAULT).add(),
                                        HealthView.ALL_HEALTHY)),
                        turn,
                        Set.of(),
                        NOW)
                .orElseThrow()
                .targetId();
    }

    @Test
    void knownCachedPromptTakesPrecedenceOverTheAssumedHome() {
        for (int program = 0; program < 20; program++) {
            TurnRequest later = new TurnRequest(3_000, TURN.parts(), 35, "program-" + program);
            TargetState cached =
                    new TargetState(
                            "read",
                            "z2",
                            12,
                            100_000,
                            mService,
                            mTimes.add(),
                            HealthView.ALL_HEALTHY);
            cached.prefixCache().recordPrefill(later.parts());
            assertEquals(
                    "read",
                    mPlacement
                            .choose(List.of(mNear, cached), later, Set.of(), NOW)
                            .orElseThrow()
                            .targetId());
        }
    }

    @Test
    void aSlowHostIsNotChosenEvenIfItHasCachedThePrompt() {
        mFar.prefixCache().recordPrefill(TURN.parts());
        mFar.load().recordSlowness(2.5, NOW);
        assertEquals("near", choose());
    }

    @Test
    void anOldObservationOfSlownessDecays() {
        mNear.load().recordSlowness(2.5, NOW - TimeUnit.SECONDS.toNanos(5));
        mFar.load().recordSlowness(1.2, NOW);
        assertEquals("near", choose());
    }

    @Test
    void anEngineWithAFullBatchIsNotChosen() {
        for (int i = 0; i < 12; i++) {
            mNear.load().recordSent();
        }
        assertEquals("far", choose());
    }

    @Test
    void aTargetThatFailedIsUsedOnlyIfNoOtherIsLeft() {
        mNear.avoid(NOW + 1);
        assertEquals("far", choose());
        assertEquals(
                "near",
                mPlacement
                        .choose(List.of(mNear, mFar), TURN, Set.of("far"), NOW)
                        .orElseThrow()
                        .targetId());
        assertTrue(
                mPlacement
                        .choose(List.of(mNear, mFar), TURN, Set.of("far", "near"), NOW)
                        .isEmpty());
    }

    @Test
    void requestsOfOtherHostsAreKnownFromTheLastResponse() {
        mNear.load().recordReport(new ReportedLoad(12, 4, 12, 1), NOW);
        assertEquals("far", choose());
    }

    @Test
    void leastRecentlyUsedPartsAreEvictedAndFirstPartsStay() {
        PrefixCacheModel cache = new PrefixCacheModel(1_200);
        cache.recordPrefill(TURN.parts());
        cache.recordPrefill(
                List.of(new PromptPart("shared", 2_500), new PromptPart("other", 1_000)));
        assertEquals(500, cache.missingTokens(TURN));
    }

    @Test
    void aPartThatHasGrownIsPrefilledFromTheEndOfItsCachedTokens() {
        PrefixCacheModel cache = new PrefixCacheModel(10_000);
        cache.recordPrefill(TURN.parts());
        List<PromptPart> grown =
                List.of(new PromptPart("shared", 2_500), new PromptPart("own", 900));
        assertEquals(400, cache.missingTokens(new TurnRequest(3_400, grown, 35, "")));
        cache.recordPrefill(grown);
        assertEquals(0, cache.missingTokens(new TurnRequest(3_400, grown, 35, "")));
    }

    @Test
    void aSmallerCapacityCachesLess() {
        PrefixCacheModel cache = new PrefixCacheModel(1_200);
        cache.recordPrefill(TURN.parts());
        assertEquals(0, cache.missingTokens(TURN));
        cache.setCapacityTokens(100);
        assertEquals(500, cache.missingTokens(TURN));
    }

    @Test
    void hostsWithoutObservationsPlaceASharedFirstPartOnFewEngines() {
        List<TargetState> engines = new ArrayList<>();
        for (int i = 0; i < 28; i++) {
            engines.add(
                    new TargetState(
                            "e" + i,
                            "z1",
                            16,
                            100_000,
                            mService,
                            mTimes.add(),
                            HealthView.ALL_HEALTHY));
        }
        Set<String> chosen = new HashSet<>();
        for (int program = 0; program < 200; program++) {
            TurnRequest first = new TurnRequest(3_000, TURN.parts(), 35, "program-" + program);
            chosen.add(mPlacement.choose(engines, first, Set.of(), NOW).orElseThrow().targetId());
        }
        assertTrue(chosen.size() <= 7, chosen.toString());
        assertTrue(chosen.size() >= 6, chosen.toString());
    }

    /**
     * Guards against taking engines without a recent response for idle. During a burst on 28
     * engines, this host has recent responses of only two others and of the engine that has cached
     * the prompt. If it took the remaining engines for idle, it would choose one of them and the
     * prompt would be prefilled again.
     */
    @Test
    void aTargetWithoutRecentResponseCountsAsBusyAsTheOthers() {
        List<TargetState> engines = new ArrayList<>();
        for (int i = 0; i < 28; i++) {
            engines.add(
                    new TargetState(
                            "e" + i,
                            "z1",
                            16,
                            100_000,
                            mService,
                            mTimes.add(),
                            HealthView.ALL_HEALTHY));
        }
        TurnRequest turn =
                new TurnRequest(
                        6_000,
                        List.of(new PromptPart("shared", 2_500), new PromptPart("own", 3_500)),
                        35,
                        "program");
        TargetState home = engines.get(3);
        home.prefixCache().recordPrefill(turn.parts());
        for (int i = 0; i < 20; i++) {
            engines.get(i % 2).load().recordReport(new ReportedLoad(12, 0, 16, 1), NOW);
        }
        home.load().recordReport(new ReportedLoad(13, 0, 16, 1), NOW);
        assertEquals(
                "e3", mPlacement.choose(engines, turn, Set.of(), NOW).orElseThrow().targetId());
    }
}
