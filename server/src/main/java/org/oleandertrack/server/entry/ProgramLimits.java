package org.oleandertrack.server.entry;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.oleandertrack.coordination.program.ProgramKey;
import org.oleandertrack.coordination.program.ProgramRow;
import org.oleandertrack.coordination.program.ProgramSession;
import org.oleandertrack.core.config.ProgramClass;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/** Ends programs that exceed the limits of their class. Thread safe. */
final class ProgramLimits {

    private final EngineMemory mMemory;
    private final LongSupplier mWallClockMillis;

    ProgramLimits(EngineMemory memory, LongSupplier wallClockMillis) {
        mMemory = memory;
        mWallClockMillis = wallClockMillis;
    }

    /**
     * Checks turns, age and repeats before a turn runs. A program over a limit is ended.
     *
     * @throws ResultException with the code of the limit
     */
    void check(
            ProgramSession session,
            RootProgram root,
            ProgramRow row,
            String program,
            ProgramClass programClass,
            String requestDigest,
            long deadlineNanos) {
        long ageMillis = mWallClockMillis.getAsLong() - row.createdMillis();
        long timeLimitMillis = TimeUnit.SECONDS.toMillis(programClass.timeLimitSeconds());
        if (row.headTurn() >= programClass.turnLimit()) {
            end(session, root, program, ResultCode.TURN_LIMIT_REACHED, deadlineNanos);
        }
        if (ageMillis >= timeLimitMillis) {
            end(session, root, program, ResultCode.TIME_LIMIT_REACHED, deadlineNanos);
        }
        if (root.repeats(program, requestDigest) >= programClass.repetitionLimit()) {
            end(session, root, program, ResultCode.REPETITION_LIMIT_REACHED, deadlineNanos);
        }
    }

    /** Drops what is kept for a program that has ended and frees its engine memory. */
    void ended(HeldShard shard, RootProgram root, ProgramKey key) {
        mMemory.release(key.organisation(), key.program());
        if (key.isRoot()) {
            shard.forget(root.key());
        }
    }

    private void end(
            ProgramSession session,
            RootProgram root,
            String program,
            ResultCode code,
            long deadlineNanos) {
        StoreCalls.await(session.end(program, deadlineNanos));
        mMemory.release(root.key().organisation(), program);
        throw new ResultException(code, "program " + program + " was ended: " + code.summary());
    }
}
