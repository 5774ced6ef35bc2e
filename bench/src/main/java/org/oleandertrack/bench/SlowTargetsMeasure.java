package org.oleandertrack.bench;

import static org.oleandertrack.bench.VirtualClock.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.oleandertrack.bench.Figure.Bar;
import org.oleandertrack.core.queue.AttainedService;

/**
 * Tail latency of programs while one target in six runs five times slower. Which ones are slow
 * changes every half minute. Round robin with first come first served queues is the baseline.
 */
final class SlowTargetsMeasure implements Measure {

    private static final int TARGETS = 24;
    private static final int SLOW_ONE_IN = 6;
    private static final int SLOWDOWN = 5;
    private static final int SLOTS = 8;
    private static final long MEMORY_TOKENS = 200_000;
    private static final long DURATION_NANOS = 1_200 * SECOND;
    private static final long EPISODE_NANOS = 30 * SECOND;
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
                ProgramLoad.USUAL.draw(
                        new SplittableRandom(seed), utilisation, TARGETS * SLOTS, DURATION_NANOS);
        Fleet plain = Fleet.baseline(TARGETS, SLOTS, MEMORY_TOKENS);
        Samples plainTimes = run(plain, programs, seed);
        Fleet ours = Fleet.ours(TARGETS, SLOTS, MEMORY_TOKENS, true, 2 * DURATION_NANOS, seed);
        Samples times = run(ours, programs, seed);
        Fleet unhedged = Fleet.ours(TARGETS, SLOTS, MEMORY_TOKENS, false, 2 * DURATION_NANOS, seed);
        Samples unhedgedTimes = run(unhedged, programs, seed);
        long calls = programs.stream().mapToLong(program -> program.turns().size()).sum();
        String load = " (load " + utilisation + ")";
        Samples unloaded = new Samples();
        programs.forEach(program -> unloaded.add(program.unloadedNanos()));
        double base = plainTimes.quantileSeconds(0.99);
        return List.of(
                Figure.ratio(
                        "p99 of programs, s" + load,
                        base,
                        times.quantileSeconds(0.99),
                        Bar.under(0.4)),
                Figure.ratio(
                        "p99 of programs without hedges, s" + load,
                        base,
                        unhedgedTimes.quantileSeconds(0.99),
                        Bar.none()),
                Figure.ratio(
                        "p99 of programs if nothing waited or were slow, s" + load,
                        base,
                        unloaded.quantileSeconds(0.99),
                        Bar.none()),
                Figure.ratio(
                        "mean of programs, s" + load,
                        plainTimes.meanSeconds(),
                        times.meanSeconds(),
                        Bar.none()),
                Figure.value(
                        "hedged calls, share" + load,
                        0,
                        (double) ours.hedged() / calls,
                        Bar.atMost(0.05)));
    }

    private static Samples run(Fleet fleet, List<Program> programs, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        fleet.mClock.at(0, () -> slowOthers(fleet, random));
        fleet.mClock.every(EPISODE_NANOS, DURATION_NANOS, () -> slowOthers(fleet, random));
        Samples times = new Samples();
        AttainedService attained = fleet.mAttained;
        new ProgramRunner(fleet.mClock, fleet.dispatcher(), attained, ProgramRunner.NO_DEADLINE)
                .run(
                        programs,
                        (program, inTime) -> {
                            fleet.release(program);
                            times.add(fleet.mClock.now() - program.arrivalNanos());
                        });
        return times;
    }

    private static void slowOthers(Fleet fleet, SplittableRandom random) {
        fleet.forEachEngine(engine -> engine.setSlowdown(1));
        for (int i = 0; i < TARGETS / SLOW_ONE_IN; i++) {
            int index = i * SLOW_ONE_IN + random.nextInt(SLOW_ONE_IN);
            fleet.mTargets.get(index).engine().setSlowdown(SLOWDOWN);
        }
    }
}
