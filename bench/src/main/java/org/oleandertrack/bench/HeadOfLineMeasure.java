package org.oleandertrack.bench;

import static org.oleandertrack.bench.VirtualClock.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.oleandertrack.bench.Figure.Requirement;
import org.oleandertrack.core.queue.AttainedService;
import org.oleandertrack.core.queue.OrganisationWeights;
import org.oleandertrack.core.queue.QueueConfig;

/**
 * Measures how long short programs wait behind long programs at one target. On average one program
 * in 20 is long: it generates 50 times as many tokens as a short one. There are three loads:
 * programs of one call at a target that can resume a suspended call, the same programs at a target
 * that cannot, and long programs that consist of 25 calls, again at a target that cannot. The
 * baseline is a queue that runs calls in the order of their arrival.
 */
final class HeadOfLineMeasure implements Measure {

    private static final int SLOTS = 16;
    private static final double UTILISATION = 0.8;
    private static final long DURATION_NANOS = 3_600 * SECOND;
    private static final int PROGRAMS_PER_LONG_PROGRAM = 20;
    private static final int LONG_PROGRAM_FACTOR = 50;
    private static final int LONG_PROGRAM_TURNS = 25;
    private static final int PROMPT_TOKENS = 500;
    private static final double MEDIAN_ANSWER_TOKENS = 15;
    private static final double ANSWER_SIGMA = 0.6;
    private static final long MEMORY_TOKENS = 2_000_000;

    @Override
    public String name() {
        return "head-of-line";
    }

    @Override
    public List<Figure> run(long seed) {
        List<Figure> figures = new ArrayList<>();
        List<Program> calls = drawPrograms(new SplittableRandom(seed), 1);
        figures.addAll(compare("single calls, target resumes", calls, true));
        figures.addAll(compare("single calls, target cannot resume", calls, false));
        List<Program> chains = drawPrograms(new SplittableRandom(seed), LONG_PROGRAM_TURNS);
        figures.addAll(compare("long programs of 25 calls, no resuming", chains, false));
        return figures;
    }

    private static List<Figure> compare(
            String loadName, List<Program> programs, boolean resumable) {
        VirtualClock fifoClock = new VirtualClock();
        Result fifo =
                run(
                        fifoClock,
                        new FifoTarget(fifoClock, SLOTS, MEMORY_TOKENS, false),
                        programs,
                        resumable);
        VirtualClock clock = new VirtualClock();
        CallQueueTarget target =
                new CallQueueTarget(
                        clock,
                        QueueConfig.forSlots(SLOTS).withMaxEntries(100_000, 100_000),
                        OrganisationWeights.EQUAL,
                        MEMORY_TOKENS);
        Result product = run(clock, target, programs, resumable);
        double suspensionsPerLongProgram = (double) target.suspensions() / product.mLong.count();
        return List.of(
                Figure.value(
                        "suspensions per long program (" + loadName + ")",
                        0,
                        suspensionsPerLongProgram,
                        Requirement.none()),
                Figure.ratio(
                        "p99 of short, s (" + loadName + ")",
                        fifo.mShort.quantileSeconds(0.99),
                        product.mShort.quantileSeconds(0.99),
                        Requirement.under(0.25)),
                Figure.ratio(
                        "mean of long, s (" + loadName + ")",
                        fifo.mLong.meanSeconds(),
                        product.mLong.meanSeconds(),
                        Requirement.atMost(1.15)));
    }

    private static Result run(
            VirtualClock clock, Target target, List<Program> programs, boolean resumable) {
        Result result = new Result();
        AttainedService attained = new AttainedService(100_000);
        Dispatcher dispatcher =
                (call, done) -> {
                    Attempt.Listener listener =
                            (outcome, serviceNanos) -> {
                                attained.add(call.program().id(), serviceNanos, clock.nowNanos());
                                done.accept(outcome);
                            };
                    target.submit(new Attempt(call, resumable, listener));
                };
        ProgramRunner runner =
                new ProgramRunner(clock, dispatcher, attained, ProgramRunner.NO_DEADLINE);
        runner.run(
                programs,
                (program, succeeded) -> {
                    target.engine().releasePrefix(program.id());
                    Samples samples = program.isLong() ? result.mLong : result.mShort;
                    samples.add(clock.nowNanos() - program.arrivalNanos());
                });
        return result;
    }

    private static List<Program> drawPrograms(RandomGenerator random, int longTurns) {
        double meanAnswerTokens = MEDIAN_ANSWER_TOKENS * Math.exp(ANSWER_SIGMA * ANSWER_SIGMA / 2);
        double meanLengthFactor =
                (PROGRAMS_PER_LONG_PROGRAM - 1.0 + LONG_PROGRAM_FACTOR) / PROGRAMS_PER_LONG_PROGRAM;
        double meanServiceNanos =
                Engine.serviceNanos(PROMPT_TOKENS, 0)
                        + meanAnswerTokens * meanLengthFactor * Engine.GENERATION_NANOS_PER_TOKEN;
        double programsPerSecond = UTILISATION * SLOTS * SECOND / meanServiceNanos;
        List<Program> programs = new ArrayList<>();
        for (long arrival :
                LoadDistributions.drawArrivals(random, programsPerSecond, DURATION_NANOS)) {
            boolean isLong = random.nextInt(PROGRAMS_PER_LONG_PROGRAM) == 0;
            int tokens =
                    LoadDistributions.drawLogNormal(random, MEDIAN_ANSWER_TOKENS, ANSWER_SIGMA);
            List<Turn> turns = new ArrayList<>();
            if (isLong) {
                for (int i = 0; i < longTurns; i++) {
                    turns.add(
                            new Turn(
                                    PROMPT_TOKENS / longTurns,
                                    Math.max(1, tokens * LONG_PROGRAM_FACTOR / longTurns),
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
