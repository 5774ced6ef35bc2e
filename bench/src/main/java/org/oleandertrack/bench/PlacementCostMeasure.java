package org.oleandertrack.bench;

import java.util.List;
import java.util.SplittableRandom;
import org.oleandertrack.bench.Figure.Requirement;
import org.oleandertrack.core.health.HealthConfig;
import org.oleandertrack.core.health.HealthTracker;
import org.oleandertrack.core.placement.LoadReport;
import org.oleandertrack.core.placement.Placement;
import org.oleandertrack.core.placement.PlacementConfig;
import org.oleandertrack.core.placement.PlacementRequest;
import org.oleandertrack.core.placement.PlacementResult;
import org.oleandertrack.core.placement.PrefixLocation;
import org.oleandertrack.core.placement.TargetInfo;
import org.oleandertrack.core.placement.TargetLoad;

/**
 * Measures the wall-clock time that a placement decision among 1,800 targets takes. The baseline
 * compares all targets in each decision; the product compares a few randomly chosen ones.
 */
final class PlacementCostMeasure implements Measure {

    private static final int TARGETS = 1_800;
    private static final int DECISIONS = 40_000;
    private static final int WARM_UP_DECISIONS = 40_000;
    private static final int SLOTS = 8;
    private static final int TARGETS_PER_SLOW_TARGET = 6;
    private static final long SERVICE_NANOS = VirtualClock.SECOND;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double NANOS_PER_SECOND = 1e9;

    @Override
    public String name() {
        return "placement-cost";
    }

    @Override
    public List<Figure> run(long seed) {
        Samples allTargets = measureDecisions(seed, TARGETS);
        Samples product = measureDecisions(seed, PlacementConfig.DEFAULT.choices());
        return List.of(
                Figure.value(
                        "placement decision at 1,800 targets, mean, microseconds",
                        toMicros(allTargets.meanSeconds()),
                        toMicros(product.meanSeconds()),
                        Requirement.under(50)),
                Figure.value(
                        "placement decision at 1,800 targets, p99, microseconds",
                        toMicros(allTargets.quantileSeconds(0.99)),
                        toMicros(product.quantileSeconds(0.99)),
                        Requirement.under(50)));
    }

    private static double toMicros(double seconds) {
        return seconds * NANOS_PER_SECOND / NANOS_PER_MICRO;
    }

    private static Samples measureDecisions(long seed, int choices) {
        SplittableRandom random = new SplittableRandom(seed);
        HealthTracker health = new HealthTracker(HealthConfig.DEFAULT);
        Placement placement =
                new Placement(
                        PlacementConfig.DEFAULT.withChoices(choices),
                        "z0",
                        (zone, other) -> zone.equals(other) ? 0 : VirtualClock.MILLISECOND,
                        health,
                        random);
        for (int i = 0; i < TARGETS; i++) {
            String id = "t" + i;
            TargetLoad load = new TargetLoad(new TargetInfo(id, "z" + i % 9, SLOTS), SERVICE_NANOS);
            int queued = random.nextInt(2 * SLOTS);
            load.recordReport(new LoadReport(SLOTS, queued, queued * SERVICE_NANOS));
            placement.add(load);
            health.add(id);
            long nanosPerToken =
                    Engine.GENERATION_NANOS_PER_TOKEN * (i % TARGETS_PER_SLOW_TARGET == 0 ? 5 : 1);
            health.recordTokenTime(id, 1, nanosPerToken, 0);
            health.recordTokenTime(id, 1, nanosPerToken, 0);
        }
        health.evaluate(0);
        Samples samples = new Samples();
        for (int i = 0; i < WARM_UP_DECISIONS + DECISIONS; i++) {
            PlacementRequest request =
                    PlacementRequest.of(10_000)
                            .withPrefix(new PrefixLocation("t" + random.nextInt(TARGETS), 9_000));
            long start = System.nanoTime();
            PlacementResult result = placement.choose(request, 0);
            long nanos = System.nanoTime() - start;
            if (result instanceof PlacementResult.Refused) {
                throw new IllegalStateException("decision " + i + " was refused");
            }
            if (i >= WARM_UP_DECISIONS) {
                samples.add(nanos);
            }
        }
        return samples;
    }
}
