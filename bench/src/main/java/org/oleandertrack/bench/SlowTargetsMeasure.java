package org.oleandertrack.bench;

import static org.oleandertrack.bench.VirtualClock.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.oleandertrack.bench.Figure.Requirement;
import org.oleandertrack.core.queue.AttainedService;

/**
 * Measures the tail latency of programs while one target in six is five times slower than the
 * others. A new random choice of slow targets is made every 30 s. The baseline is round robin with
 * first-come-first-served queues.
 */
final class SlowTargetsMeasure implements Measure {

    private static final int TARGETS = 24;
    private static final int TARGETS_PER_SLOW_TARGET = 6;
    private static final int SLOWDOWN_FACTOR = 5;
    private static final int SLOTS = 8;
    private static final long MEMORY_TOKENS = 200_000;
    private static final long DURATION_NANOS = 1_200 * SECOND;
    private static final long SLOW_PERIOD_NANOS = 30 * SECOND;
    private static final double[] UTILISATIONS = {0.5, 0.15};

    @Override
    public String name() {
        return "slow-targets";
    }

    @Override
    public List<Figure> run(long seed) {
        List<Figure> figures = new ArrayList<>();
        for (double utilisation : UTILISATIONS) {
            figures.addAll(run(seed, utilisation));
        }
        return figures;
    }

    private static List<Figure> run(long seed, double utilisation) {
        List<Program> programs =
                ProgramLoad.DEFAULT.draw(
                        new SplittableRandom(seed), utilisation, TARGETS * SLOTS, DURATION_NANOS);
        Fleet baseline = Fleet.baseline(TARGETS, SLOTS, MEMORY_TOKENS);
        Samples baselineTimes = run(baseline, programs, seed);
        Fleet product =
                Fleet.withProductPolicies(
                        TARGETS, SLOTS, MEMORY_TOKENS, true, 2 * DURATION_NANOS, seed);
        Samples productTimes = run(product, programs, seed);
        Fleet unhedged =
                Fleet.withProductPolicies(
                        TARGETS, SLOTS, MEMORY_TOKENS, false, 2 * DURATION_NANOS, seed);
        Samples unhedgedTimes = run(unhedged, programs, seed);
        long calls = programs.stream().mapToLong(program -> program.turns().size()).sum();
        String loadSuffix = " (load " + utilisation + ")";
        Samples unloaded = new Samples();
        programs.forEach(program -> unloaded.add(program.unloadedNanos()));
        double baselineP99Seconds = baselineTimes.quantileSeconds(0.99);
        return List.of(
                Figure.ratio(
                        "p99 of programs, s" + loadSuffix,
                        baselineP99Seconds,
                        productTimes.quantileSeconds(0.99),
                        Requirement.under(0.4)),
                Figure.ratio(
                        "p99 of programs without hedges, s" + loadSuffix,
                        baselineP99Seconds,
                        unhedgedTimes.quantileSeconds(0.99),
                        Requirement.none()),
                Figure.ratio(
                        "p99 of programs without waits or slow targets, s" + loadSuffix,
                        baselineP99Seconds,
                        unloaded.quantileSeconds(0.99),
                        Requirement.none()),
                Figure.ratio(
                        "mean of programs, s" + loadSuffix,
                        baselineTimes.meanSeconds(),
                        productTimes.meanSeconds(),
                        Requirement.none()),
                Figure.value(
                        "hedged calls, share" + loadSuffix,
                        0,
                        (double) product.hedgedCalls() / calls,
                        Requirement.atMost(0.05)));
    }

    private static Samples run(Fleet fleet, List<Program> programs, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        fleet.mClock.scheduleAt(0, () -> chooseSlowTargets(fleet, random));
        fleet.mClock.scheduleEvery(
                SLOW_PERIOD_NANOS, DURATION_NANOS, () -> chooseSlowTargets(fleet, random));
        Samples times = new Samples();
        AttainedService attained = fleet.mAttainedService;
        new ProgramRunner(fleet.mClock, fleet.dispatcher(), attained, ProgramRunner.NO_DEADLINE)
                .run(
                        programs,
                        (program, succeeded) -> {
                            fleet.release(program);
                            times.add(fleet.mClock.nowNanos() - program.arrivalNanos());
                        });
        return times;
    }

    private static void chooseSlowTargets(Fleet fleet, SplittableRandom random) {
        fleet.forEachEngine(engine -> engine.setSlowdownFactor(1));
        for (int i = 0; i < TARGETS / TARGETS_PER_SLOW_TARGET; i++) {
            int index = i * TARGETS_PER_SLOW_TARGET + random.nextInt(TARGETS_PER_SLOW_TARGET);
            fleet.mTargets.get(index).engine().setSlowdownFactor(SLOWDOWN_FACTOR);
        }
    }
}
