package org.oleandertrack.bench;

import static org.oleandertrack.bench.VirtualClock.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.oleandertrack.bench.Figure.Bar;
import org.oleandertrack.core.queue.AttainedService;
import org.oleandertrack.core.queue.OrganisationWeights;
import org.oleandertrack.core.queue.QueueConfig;

/**
 * Short work behind long work at one target. One program in 20 is fifty times longer. Three loads:
 * single calls at a target that resumes streams, the same calls at a target that cannot, and long
 * programs that consist of many calls at a target that cannot.
 */
final class HeadOfLineMeasure implements Measure {

    private static final int SLOTS = 16;
    private static final double UTILISATION = 0.8;
    private static final long DURATION_NANOS = 3_600 * SECOND;
    private static final int LONG_ONE_IN = 20;
    private static final int LONG_FACTOR = 50;
    private static final int LONG_TURNS = 25;
    private static final int PROMPT_TOKENS = 500;
    private static final double ANSWER_TOKENS = 15;
    private static final double SIGMA = 0.6;
    private static final long MEMORY_TOKENS = 2_000_000;

    @Override
    public String name() {
        return "head-of-line";
    }

    @Override
    public List<Figure> run(long seed) {
        List<Figure> figures = new ArrayList<>();
        List<Program> calls = programs(new SplittableRandom(seed), 1);
        figures.addAll(compare("single calls, target resumes", calls, true));
        figures.addAll(compare("single calls, target cannot resume", calls, false));
        List<Program> chains = programs(new SplittableRandom(seed), LONG_TURNS);
        figures.addAll(compare("long programs of 25 calls, no resuming", chains, false));
        return figures;
    }

    private static List<Figure> compare(String load, List<Program> programs, boolean resumable) {
        VirtualClock fifoClock = new VirtualClock();
        Result fifo =
                run(
                        fifoClock,
                        new FifoTarget(fifoClock, SLOTS, MEMORY_TOKENS, false),
                        programs,
                        resumable);
        VirtualClock clock = new VirtualClock();
        PolicyTarget target =
                new PolicyTarget(
                        clock,
                        QueueConfig.forSlots(SLOTS).withMaxEntries(100_000, 100_000),
                        OrganisationWeights.EQUAL,
                        MEMORY_TOKENS);
        Result ours = run(clock, target, programs, resumable);
        double perLong = (double) target.suspensions() / ours.mLong.count();
        return List.of(
                Figure.value("suspensions per long program (" + load + ")", 0, perLong, Bar.none()),
                Figure.ratio(
                        "p99 of short, s (" + load + ")",
                        fifo.mShort.quantileSeconds(0.99),
                        ours.mShort.quantileSeconds(0.99),
                        Bar.under(0.25)),
                Figure.ratio(
                        "mean of long, s (" + load + ")",
                        fifo.mLong.meanSeconds(),
                        ours.mLong.meanSeconds(),
                        Bar.atMost(1.15)));
    }

    private static Result run(
            VirtualClock clock, Target target, List<Program> programs, boolean resumable) {
        Result result = new Result();
        AttainedService attained = new AttainedService(100_000);
        Dispatcher dispatcher =
                (call, done) -> {
                    Attempt.Listener listener =
                            (outcome, nanos) -> {
                                attained.add(call.program().id(), nanos, clock.now());
                                done.accept(outcome);
                            };
                    target.submit(new Attempt(call, resumable, listener));
                };
        ProgramRunner runner =
                new ProgramRunner(clock, dispatcher, attained, ProgramRunner.NO_DEADLINE);
        runner.run(
                programs,
                (program, inTime) -> {
                    target.engine().release(program.id());
                    Samples samples = program.isLong() ? result.mLong : result.mShort;
                    samples.add(clock.now() - program.arrivalNanos());
                });
        return result;
    }

    private static List<Program> programs(RandomGenerator random, int longTurns) {
        double shortTokens = ANSWER_TOKENS * Math.exp(SIGMA * SIGMA / 2);
        double factor = (LONG_ONE_IN - 1.0 + LONG_FACTOR) / LONG_ONE_IN;
        double meanNanos =
                Engine.workNanos(PROMPT_TOKENS, 0) + shortTokens * factor * Engine.TOKEN_NANOS;
        double perSecond = UTILISATION * SLOTS * SECOND / meanNanos;
        List<Program> programs = new ArrayList<>();
        for (long arrival : Loads.arrivals(random, perSecond, DURATION_NANOS)) {
            boolean isLong = random.nextInt(LONG_ONE_IN) == 0;
            int tokens = Loads.logNormal(random, ANSWER_TOKENS, SIGMA);
            List<Turn> turns = new ArrayList<>();
            if (isLong) {
                for (int i = 0; i < longTurns; i++) {
                    turns.add(
                            new Turn(
                                    PROMPT_TOKENS / longTurns,
                                    Math.max(1, tokens * LONG_FACTOR / longTurns),
                                    0));
                }
            } else {
                turns.add(new Turn(PROMPT_TOKENS, tokens, 0));
            }
            programs.add(new Program("p" + programs.size(), "o", arrival, isLong, turns));
        }
        return programs;
    }

    private static final class Result {
        private final Samples mShort = new Samples();
        private final Samples mLong = new Samples();
    }
}
