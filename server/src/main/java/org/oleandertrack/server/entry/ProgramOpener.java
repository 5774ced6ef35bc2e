package org.oleandertrack.server.entry;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.oleandertrack.coordination.program.OpenOutcome;
import org.oleandertrack.coordination.program.ProgramKey;
import org.oleandertrack.coordination.program.ProgramOutcome;
import org.oleandertrack.coordination.program.ProgramSession;
import org.oleandertrack.coordination.program.ProgramStore;
import org.oleandertrack.core.config.ProgramClass;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/**
 * Creates programs at their first turn and adopts programs: takes them over from the former holder
 * of their shard. Thread safe.
 */
final class ProgramOpener {

    private static final int FIRST_TURN = 1;

    private final ProgramStore mPrograms;
    private final LongSupplier mWallClockMillis;

    ProgramOpener(ProgramStore programs, LongSupplier wallClockMillis) {
        mPrograms = programs;
        mWallClockMillis = wallClockMillis;
    }

    /**
     * Returns the session of a request's root program. For a sub-agent's request, the session also
     * has the sub-agent's row. Blocks.
     */
    ProgramSession open(
            RootProgram root,
            ProgramKey key,
            CallerRequest request,
            ProgramClass programClass,
            long fence,
            long deadlineNanos) {
        root.openLock().lock();
        try {
            ProgramSession session =
                    root.session()
                            .orElseGet(
                                    () ->
                                            openRoot(
                                                    root,
                                                    key,
                                                    request,
                                                    programClass,
                                                    fence,
                                                    deadlineNanos));
            if (!key.isRoot()) {
                openSubAgent(session, key, programClass, deadlineNanos);
            }
            return session;
        } finally {
            root.openLock().unlock();
        }
    }

    /**
     * Returns the session of a root program. Blocks.
     *
     * @throws ResultException if the program does not exist
     */
    ProgramSession openExisting(RootProgram root, long fence, long deadlineNanos) {
        root.openLock().lock();
        try {
            return root.session().orElseGet(() -> adoptExisting(root, fence, deadlineNanos));
        } finally {
            root.openLock().unlock();
        }
    }

    private ProgramSession adoptExisting(RootProgram root, long fence, long deadlineNanos) {
        OpenOutcome outcome = StoreFutures.await(mPrograms.adopt(root.key(), fence, deadlineNanos));
        if (!(outcome instanceof OpenOutcome.Opened opened)) {
            throw new ResultException(
                    ResultCode.UNKNOWN_OBJECT,
                    "program " + root.key().program() + " does not exist here");
        }
        root.setSession(opened.session());
        return opened.session();
    }

    private ProgramSession openRoot(
            RootProgram root,
            ProgramKey key,
            CallerRequest request,
            ProgramClass programClass,
            long fence,
            long deadlineNanos) {
        boolean mayCreate = key.isRoot() && request.turn() == FIRST_TURN;
        Optional<ProgramSession> created =
                mayCreate
                        ? create(root, request, programClass, fence, deadlineNanos)
                        : Optional.empty();
        ProgramSession session =
                created.orElseGet(() -> adopt(root, key, request, fence, deadlineNanos));
        root.setSession(session);
        return session;
    }

    /** Returns the session of a new program; empty if the program already exists. */
    private Optional<ProgramSession> create(
            RootProgram root,
            CallerRequest request,
            ProgramClass programClass,
            long fence,
            long deadlineNanos) {
        long budgetTokens =
                Math.min(
                        request.budgetTokens().orElse(programClass.budgetTokens()),
                        programClass.budgetTokens());
        OpenOutcome outcome =
                StoreFutures.await(
                        mPrograms.create(
                                root.key(),
                                programClass.name(),
                                budgetTokens,
                                mWallClockMillis.getAsLong(),
                                fence,
                                deadlineNanos));
        return switch (outcome) {
            case OpenOutcome.Opened opened -> Optional.of(opened.session());
            case OpenOutcome.Exists exists -> Optional.empty();
            case OpenOutcome.Missing missing -> Optional.empty();
            case OpenOutcome.Fenced fenced -> throw heldElsewhere(root.key(), fenced);
        };
    }

    private ProgramSession adopt(
            RootProgram root,
            ProgramKey key,
            CallerRequest request,
            long fence,
            long deadlineNanos) {
        OpenOutcome outcome = StoreFutures.await(mPrograms.adopt(root.key(), fence, deadlineNanos));
        return switch (outcome) {
            case OpenOutcome.Opened opened -> opened.session();
            case OpenOutcome.Exists exists -> throw unknownProgram(key, request);
            case OpenOutcome.Missing missing -> throw unknownProgram(key, request);
            case OpenOutcome.Fenced fenced -> throw heldElsewhere(root.key(), fenced);
        };
    }

    private void openSubAgent(
            ProgramSession session, ProgramKey key, ProgramClass programClass, long deadlineNanos) {
        ProgramOutcome outcome =
                StoreFutures.await(
                        session.openSubAgent(
                                key,
                                programClass.name(),
                                mWallClockMillis.getAsLong(),
                                deadlineNanos));
        if (outcome instanceof ProgramOutcome.OwnershipLost) {
            throw new ResultException(
                    ResultCode.NOT_SHARD_HOLDER,
                    "program " + key + " is held by another entry host");
        }
    }

    private static ResultException unknownProgram(ProgramKey key, CallerRequest request) {
        return key.isRoot()
                ? new ResultException(
                        ResultCode.UNKNOWN_PROGRAM, "program " + key.program() + " does not exist")
                : new ResultException(
                        ResultCode.INVALID_PARENT,
                        "the root of " + request.program().orElse("") + " does not exist");
    }

    private static ResultException heldElsewhere(ProgramKey key, OpenOutcome.Fenced fenced) {
        return new ResultException(
                ResultCode.NOT_SHARD_HOLDER,
                "program "
                        + key.program()
                        + " is held by another entry host with fence "
                        + fenced.fence());
    }
}
