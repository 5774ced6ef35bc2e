package org.oleandertrack.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.placement.PlacementResult.Placed;
import org.oleandertrack.core.placement.PlacementResult.Reason;
import org.oleandertrack.core.placement.TargetAssessment.Use;
import org.oleandertrack.core.result.ResultCode;

/** Guards against calls that wait longer than necessary or are sent to excluded targets. */
final class PlacementTest {

    private static final long SECOND = 1_000_000_000L;
    private static final ZoneDistance DISTANCE =
            (zone, other) -> zone.equals(other) ? 0 : SECOND / 1_000;

    @Test
    void prefersPrefixUntilTheWaitCostsMore() {
        Placement placement = placement(HealthView.ALL_HEALTHY, 3, 3);
        TargetLoad holder = placement.target("t0").orElseThrow();
        PlacementRequest request =
                PlacementRequest.of(25_000).withPrefix(new PrefixLocation("t0", 24_000));
        // Computing the 24,000 prefix tokens elsewhere takes 2.4 s, which the weight of 3 turns
        // into 7.2 s; each call ahead takes 1 s.
        holder.recordReport(new LoadReport(1, 6, 6 * SECOND));
        assertPlaced("t0", Reason.PREFIX, placement.choose(request, 0));
        holder.recordReport(new LoadReport(1, 7, 7 * SECOND));
        Placed moved = assertInstanceOf(Placed.class, placement.choose(request, 0));
        assertEquals(Reason.LEAST_COST, moved.reason());
    }

    @Test
    void countsCallsSentAndFinishedSinceTheReport() {
        TargetLoad load = new TargetLoad(new TargetInfo("t", "z", 2), SECOND);
        load.recordReport(new LoadReport(2, 0, 0));
        load.recordSent();
        load.recordSent();
        assertEquals(4, load.outstanding());
        assertEquals(3 * SECOND / 2, load.predictedWaitNanos());
        load.recordFinished(SECOND);
        assertEquals(3, load.outstanding());
        load.recordReport(LoadReport.IDLE);
        assertEquals(1, load.outstanding(), "a late report must not hide a call in progress");
        load.recordFinished(0);
        assertThrows(IllegalStateException.class, () -> load.recordFinished(0));
    }

    @Test
    void doesNotChooseExcludedOrFailingTargetsWhileOthersRemain() {
        HealthView health =
                (id, now) ->
                        id.equals("t0")
                                ? new TargetAssessment(Use.LAST_RESORT, 0)
                                : TargetAssessment.HEALTHY;
        Placement placement = placement(health, 4, 2);
        PlacementRequest request = PlacementRequest.of(10);
        assertPlaced("t1", Reason.LEAST_COST, placement.choose(request, 0));
        assertPlaced(
                "t0", Reason.LAST_RESORT, placement.choose(request.withExcluded(Set.of("t1")), 0));
        assertEquals(
                new PlacementResult.Refused(ResultCode.NO_TARGET_AVAILABLE),
                placement.choose(request.withExcluded(Set.of("t0", "t1")), 0));
    }

    @Test
    void findsTheOnlyUsableOfManyTargets() {
        HealthView health =
                (id, now) ->
                        id.equals("t777")
                                ? TargetAssessment.HEALTHY
                                : new TargetAssessment(Use.NONE, 0);
        Placement placement = placement(health, 4, 1_800);
        assertPlaced("t777", Reason.LEAST_COST, placement.choose(PlacementRequest.of(1), 0));
    }

    @Test
    void probesOnlyWithCallsThatMayProbe() {
        HealthView health = (id, now) -> new TargetAssessment(Use.PROBE, SECOND);
        Placement placement = placement(health, 2, 2);
        PlacementRequest request = PlacementRequest.of(1);
        Placed probe = assertInstanceOf(Placed.class, placement.choose(request, 0));
        assertEquals(Reason.PROBE, probe.reason());
        Placed last = assertInstanceOf(Placed.class, placement.choose(request.withProbe(false), 0));
        assertEquals(Reason.LAST_RESORT, last.reason());
    }

    @Test
    void removedTargetIsNotChosen() {
        Placement placement = placement(HealthView.ALL_HEALTHY, 4, 3);
        placement.remove("t0");
        placement.remove("t2");
        placement.remove("t2");
        assertPlaced("t1", Reason.LEAST_COST, placement.choose(PlacementRequest.of(1), 0));
    }

    /**
     * Guards against entry hosts that all choose the same target because they have the same
     * outdated load report.
     */
    @Property(seed = "20261204", tries = 20)
    void hostsWithTheSameReportSpreadTheirCalls(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, Integer> chosen = new HashMap<>();
        int hosts = 300;
        for (int host = 0; host < hosts; host++) {
            Placement placement =
                    new Placement(
                            PlacementConfig.DEFAULT,
                            "z0",
                            DISTANCE,
                            HealthView.ALL_HEALTHY,
                            random.split());
            for (int i = 0; i < 60; i++) {
                TargetLoad load = new TargetLoad(new TargetInfo("t" + i, "z0", 1), SECOND);
                // The only idle target would be chosen by every host that compares all targets.
                load.recordReport(i == 7 ? LoadReport.IDLE : new LoadReport(1, 1, SECOND));
                placement.add(load);
            }
            Placed placed = (Placed) placement.choose(PlacementRequest.of(100), 0);
            chosen.merge(placed.targetId(), 1, Integer::sum);
        }
        // With four draws out of 60 targets, one decision in 15 includes the idle target.
        assertTrue(chosen.get("t7") < hosts / 5, "calls at the idle target: " + chosen.get("t7"));
    }

    /** Guards against a subset that changes completely when one target leaves. */
    @Property(seed = "20261204", tries = 50)
    void subsetChangesByOneTarget(
            @ForAll @IntRange(min = 1, max = 40) int size, @ForAll @IntRange(max = 89) int gone) {
        List<TargetInfo> targets = new ArrayList<>();
        for (int i = 0; i < 90; i++) {
            targets.add(new TargetInfo("t" + i, "z" + i % 3, 1));
        }
        Set<String> before = TargetSubset.choose("host", "z1", targets, size);
        targets.remove(gone);
        Set<String> after = TargetSubset.choose("host", "z1", targets, size);
        assertEquals(size, after.size());
        Set<String> kept = new HashSet<>(before);
        kept.retainAll(after);
        assertTrue(kept.size() >= size - 1, "kept only " + kept.size() + " of " + size);
    }

    @Test
    void subsetFillsUpFromOtherZones() {
        List<TargetInfo> targets = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            targets.add(new TargetInfo("t" + i, i < 4 ? "own" : "other", 1));
        }
        Set<String> chosen = TargetSubset.choose("host", "own", targets, 12);
        assertEquals(12, chosen.size());
        assertTrue(chosen.containsAll(Set.of("t0", "t1", "t2", "t3")));
        assertEquals(20, TargetSubset.choose("host", "own", targets, 30).size());
    }

    @Test
    void prefixLocationsAreBoundedAndForgetTargets() {
        PrefixLocations locations = new PrefixLocations(2);
        locations.put("p", new PrefixLocation("t0", 1));
        locations.put("q", new PrefixLocation("t1", 2));
        locations.put("r", new PrefixLocation("t0", 3));
        assertTrue(locations.find("p").isEmpty());
        locations.forgetTarget("t0");
        assertTrue(locations.find("r").isEmpty());
        assertEquals(2, locations.find("q").orElseThrow().tokens());
    }

    private static Placement placement(HealthView health, int choices, int targets) {
        Placement placement =
                new Placement(
                        PlacementConfig.DEFAULT.withChoices(choices),
                        "z0",
                        DISTANCE,
                        health,
                        new SplittableRandom(1));
        for (int i = 0; i < targets; i++) {
            placement.add(new TargetLoad(new TargetInfo("t" + i, "z0", 1), SECOND));
        }
        return placement;
    }

    private static void assertPlaced(String id, Reason reason, PlacementResult result) {
        Placed placed = assertInstanceOf(Placed.class, result);
        assertEquals(id, placed.targetId());
        assertEquals(reason, placed.reason());
    }
}
