package org.oleandertrack.bench;

import static org.oleandertrack.bench.VirtualClock.SECOND;

import java.util.List;
import java.util.SplittableRandom;
import org.oleandertrack.bench.Figure.Requirement;

/**
 * Measures the number of attempts per call while half of the targets answer every attempt with an
 * error. The baseline is round robin that retries a failed call without delay, with at most four
 * attempts per call.
 */
final class FailingTargetsMeasure implements Measure {

    private static final int TARGETS = 24;
    private static final int SLOTS = 8;
    private static final double UTILISATION = 0.3;
    private static final long MEMORY_TOKENS = 200_000;
    private static final long DURATION_NANOS = 600 * SECOND;

    @Override
    public String name() {
        return "failing-targets";
    }

    @Override
    public List<Figure> run(long seed) {
        List<Program> programs =
                ProgramLoad.DEFAULT.draw(
                        new SplittableRandom(seed), UTILISATION, TARGETS * SLOTS, DURATION_NANOS);
        Result baseline = run(Fleet.baseline(TARGETS, SLOTS, MEMORY_TOKENS), programs);
        Result product =
                run(
                        Fleet.withProductPolicies(
                                TARGETS, SLOTS, MEMORY_TOKENS, true, 2 * DURATION_NANOS, seed),
                        programs);
        return List.of(
                Figure.value(
                        "attempts per call while half of the targets fail",
                        baseline.attemptsPerCall(),
                        product.attemptsPerCall(),
                        Requirement.under(1.1)),
                Figure.ratio(
                        "share of programs completed while half of the targets fail",
                        baseline.completedShare(),
                        product.completedShare(),
                        Requirement.none()));
    }

    private static Result run(Fleet fleet, List<Program> programs) {
        for (int i = 0; i < TARGETS; i += 2) {
            fleet.mTargets.get(i).engine().setFailing(true);
        }
        Result result = new Result();
        Dispatcher inner = fleet.dispatcher();
        Dispatcher counting =
                (call, done) -> {
                    result.mCalls++;
                    inner.dispatch(call, done);
                };
        new ProgramRunner(fleet.mClock, counting, fleet.mAttainedService, ProgramRunner.NO_DEADLINE)
                .run(
                        programs,
                        (program, succeeded) -> {
                            fleet.release(program);
                            result.mPrograms++;
                            result.mCompletedPrograms += succeeded ? 1 : 0;
                        });
        result.mAttempts = fleet.attempts();
        return result;
    }

    private static final class Result {
        private long mCalls;
        private long mAttempts;
        private long mPrograms;
        private long mCompletedPrograms;

        private double attemptsPerCall() {
            return (double) mAttempts / mCalls;
        }

        private double completedShare() {
            return (double) mCompletedPrograms / mPrograms;
        }
    }
}
