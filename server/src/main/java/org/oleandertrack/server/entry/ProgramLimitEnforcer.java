package org.oleandertrack.server.entry;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.oleandertrack.coordination.program.ProgramKey;
import org.oleandertrack.coordination.program.ProgramRow;
import org.oleandertrack.coordination.program.ProgramSession;
import org.oleandertrack.core.config.ProgramClass;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/**
 * Ends programs that have reached a limit of their class, and cleans up after programs that have
 * ended. Thread safe.
 */
final class ProgramLimitEnforcer {

    private final EngineMemoryReleaser mMemoryReleaser;
    private final LongSupplier mWallClockMillis;

    ProgramLimitEnforcer(EngineMemoryReleaser memoryReleaser, LongSupplier wallClockMillis) {
        mMemoryReleaser = memoryReleaser;
        mWallClockMillis = wallClockMillis;
    }

    /**
     * Ends a program before its next turn runs if it has reached the limit of turns, age or
     * consecutive repetitions of one request.
     *
     * @throws ResultException with the code of the limit that was reached
     */
    void enforce(
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
            endProgram(session, root, program, ResultCode.TURN_LIMIT_REACHED, deadlineNanos);
        }
        if (ageMillis >= timeLimitMillis) {
            endProgram(session, root, program, ResultCode.TIME_LIMIT_REACHED, deadlineNanos);
        }
        if (root.consecutiveRepeats(program, requestDigest) >= programClass.repetitionLimit()) {
            endProgram(session, root, program, ResultCode.REPETITION_LIMIT_REACHED, deadlineNanos);
        }
    }

    /** Frees the engine memory of a program that has ended and, for a root, its local state. */
    void cleanUp(HeldShard shard, RootProgram root, ProgramKey key) {
        mMemoryReleaser.release(key.organisation(), key.program());
        if (key.isRoot()) {
            shard.removeProgram(root.key());
        }
    }

    private void endProgram(
            ProgramSession session,
            RootProgram root,
            String program,
            ResultCode code,
            long deadlineNanos) {
        StoreFutures.await(session.end(program, deadlineNanos));
        mMemoryReleaser.release(root.key().organisation(), program);
        throw new ResultException(code, "program " + program + " was ended: " + code.summary());
    }
}
