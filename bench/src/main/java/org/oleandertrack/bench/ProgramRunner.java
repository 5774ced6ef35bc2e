package org.oleandertrack.bench;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.ToLongFunction;
import org.oleandertrack.core.queue.AttainedService;

/**
 * Drives the programs of a load: each call follows the answer to the one before it and the pause. A
 * program whose call fails, or whose deadline passes, ends without sending further calls.
 */
final class ProgramRunner {

    /** Deadline of programs that wait without a limit. */
    static final ToLongFunction<Program> NO_DEADLINE = program -> Long.MAX_VALUE;

    private final VirtualClock mClock;
    private final Dispatcher mDispatcher;
    private final AttainedService mAttained;
    private final ToLongFunction<Program> mDeadline;

    /**
     * Creates a runner.
     *
     * @param attained service of the programs, kept up to date by the dispatcher
     * @param deadline time at which a program's caller stops waiting
     */
    ProgramRunner(
            VirtualClock clock,
            Dispatcher dispatcher,
            AttainedService attained,
            ToLongFunction<Program> deadline) {
        mClock = clock;
        mDispatcher = dispatcher;
        mAttained = attained;
        mDeadline = deadline;
    }

    /** Runs all programs to their end; {@code ended} gets each with whether it was in time. */
    void run(List<Program> programs, BiConsumer<Program, Boolean> ended) {
        for (Program program : programs) {
            mClock.at(program.arrivalNanos(), () -> runTurn(program, 0, 0, ended));
        }
        mClock.run();
    }

    private void runTurn(
            Program program, int index, int history, BiConsumer<Program, Boolean> ended) {
        long deadline = mDeadline.applyAsLong(program);
        if (mClock.now() > deadline) {
            ended.accept(program, false);
            return;
        }
        Turn turn = program.turns().get(index);
        int prompt = history + turn.newTokens();
        Call call =
                new Call(
                        program.id() + "." + index,
                        program,
                        index + 1,
                        prompt,
                        turn.generatedTokens(),
                        mAttained.attainedNanos(program.id()),
                        deadline);
        mDispatcher.dispatch(
                call,
                outcome -> {
                    boolean last = index + 1 == program.turns().size();
                    if (outcome != Attempt.Outcome.DONE) {
                        ended.accept(program, false);
                    } else if (last) {
                        ended.accept(program, mClock.now() <= deadline);
                    } else {
                        int next = prompt + turn.generatedTokens();
                        mClock.after(
                                turn.pauseNanos(), () -> runTurn(program, index + 1, next, ended));
                    }
                });
    }
}
