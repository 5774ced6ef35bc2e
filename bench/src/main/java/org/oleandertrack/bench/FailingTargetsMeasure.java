package org.oleandertrack.bench;

import static org.oleandertrack.bench.VirtualClock.SECOND;

import java.util.List;
import java.util.SplittableRandom;
import org.oleandertrack.bench.Figure.Bar;

/**
 * Attempts sent to targets for each call of the callers while half of the targets fail. The
 * baseline sends a failed attempt again at once, up to four times.
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
                ProgramLoad.USUAL.draw(
                        new SplittableRandom(seed), UTILISATION, TARGETS * SLOTS, DURATION_NANOS);
        Result plain = run(Fleet.baseline(TARGETS, SLOTS, MEMORY_TOKENS), programs);
        Result ours =
                run(
                        Fleet.ours(TARGETS, SLOTS, MEMORY_TOKENS, true, 2 * DURATION_NANOS, seed),
                        programs);
        return List.of(
                Figure.value(
                        "attempts per call while half of the targets fail",
                        plain.attemptsPerCall(),
                        ours.attemptsPerCall(),
                        Bar.under(1.1)),
                Figure.ratio(
                        "programs completed meanwhile, share",
                        plain.completedShare(),
                        ours.completedShare(),
                        Bar.none()));
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
        new ProgramRunner(fleet.mClock, counting, fleet.mAttained, ProgramRunner.NO_DEADLINE)
                .run(
                        programs,
                        (program, inTime) -> {
                            fleet.release(program);
                            result.mPrograms++;
                            result.mCompleted += inTime ? 1 : 0;
                        });
        result.mAttempts = fleet.attempts();
        return result;
    }

    private static final class Result {
        private long mCalls;
        private long mAttempts;
        private long mPrograms;
        private long mCompleted;

        private double attemptsPerCall() {
            return (double) mAttempts / mCalls;
        }

        private double completedShare() {
            return (double) mCompleted / mPrograms;
        }
    }
}
