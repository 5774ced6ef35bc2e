package org.oleandertrack.bench;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.ToLongFunction;
import org.oleandertrack.core.queue.AttainedService;

/**
 * Sends the calls of the programs of a load. The next call of a program is sent when the previous
 * one has been answered and the pause after that turn has passed. A program whose call fails, or
 * whose deadline has passed when its next call is due, ends without sending further calls.
 */
final class ProgramRunner {

    /** Deadline function for programs whose callers wait without limit. */
    static final ToLongFunction<Program> NO_DEADLINE = program -> Long.MAX_VALUE;

    private final VirtualClock mClock;
    private final Dispatcher mDispatcher;
    private final AttainedService mAttainedService;
    private final ToLongFunction<Program> mDeadlineNanos;

    /**
     * Creates a runner.
     *
     * @param attainedService engine time that each program has used so far; the dispatcher updates
     *     it
     * @param deadlineNanos returns the time in nanoseconds at which a program's caller stops
     *     waiting
     */
    ProgramRunner(
            VirtualClock clock,
            Dispatcher dispatcher,
            AttainedService attainedService,
            ToLongFunction<Program> deadlineNanos) {
        mClock = clock;
        mDispatcher = dispatcher;
        mAttainedService = attainedService;
        mDeadlineNanos = deadlineNanos;
    }

    /**
     * Runs all programs to their end.
     *
     * @param onProgramEnd called at the end of each program, with whether all of its calls
     *     succeeded before its deadline
     */
    void run(List<Program> programs, BiConsumer<Program, Boolean> onProgramEnd) {
        for (Program program : programs) {
            mClock.scheduleAt(program.arrivalNanos(), () -> runTurn(program, 0, 0, onProgramEnd));
        }
        mClock.run();
    }

    private void runTurn(
            Program program,
            int turnIndex,
            int historyTokens,
            BiConsumer<Program, Boolean> onProgramEnd) {
        long deadlineNanos = mDeadlineNanos.applyAsLong(program);
        if (mClock.nowNanos() > deadlineNanos) {
            onProgramEnd.accept(program, false);
            return;
        }
        Turn turn = program.turns().get(turnIndex);
        int promptTokens = historyTokens + turn.newPromptTokens();
        Call call =
                new Call(
                        program.id() + "." + turnIndex,
                        program,
                        turnIndex + 1,
                        promptTokens,
                        turn.generatedTokens(),
                        mAttainedService.attainedNanos(program.id()),
                        deadlineNanos);
        mDispatcher.dispatch(
                call,
                outcome -> {
                    boolean isLast = turnIndex + 1 == program.turns().size();
                    if (outcome != Attempt.Outcome.DONE) {
                        onProgramEnd.accept(program, false);
                    } else if (isLast) {
                        onProgramEnd.accept(program, mClock.nowNanos() <= deadlineNanos);
                    } else {
                        int nextHistoryTokens = promptTokens + turn.generatedTokens();
                        mClock.scheduleAfter(
                                turn.pauseNanos(),
                                () ->
                                        runTurn(
                                                program,
                                                turnIndex + 1,
                                                nextHistoryTokens,
                                                onProgramEnd));
                    }
                });
    }
}
