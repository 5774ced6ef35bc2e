package org.oleandertrack.server.entry;

import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.oleandertrack.coordination.program.ProgramKey;
import org.oleandertrack.coordination.program.ProgramOutcome;
import org.oleandertrack.coordination.program.ProgramRow;
import org.oleandertrack.coordination.program.ProgramSession;
import org.oleandertrack.coordination.program.ProgramStore;
import org.oleandertrack.coordination.program.TurnCommit;
import org.oleandertrack.coordination.program.TurnRecord;
import org.oleandertrack.coordination.store.StoreException;
import org.oleandertrack.core.config.ProgramClass;
import org.oleandertrack.core.program.TurnDecision;
import org.oleandertrack.core.program.TurnOrder;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.message.Usage;

/**
 * Runs turns of programs whose shard this process holds. Turns run in order and within the
 * program's token budget. The history of a turn is durable before the end of its response is sent
 * to the caller. Thread safe.
 */
final class ProgramCallService implements LocalCallService.ActiveCallService {

    private static final int FIRST_TURN = 1;

    private final ShardRegistry mShards;
    private final ProgramStore mPrograms;
    private final ProgramOpener mOpener;
    private final ProgramLimitEnforcer mLimitEnforcer;
    private final CallPreconditions mPreconditions;
    private final Dispatcher mDispatcher;
    private final LongSupplier mNanoClock;
    private final DurableCallConfig mConfig;

    ProgramCallService(
            ShardRegistry shards,
            ProgramStore programs,
            ProgramOpener opener,
            ProgramLimitEnforcer limitEnforcer,
            CallPreconditions preconditions,
            Dispatcher dispatcher,
            LongSupplier nanoClock,
            DurableCallConfig config) {
        mShards = shards;
        mPrograms = programs;
        mOpener = opener;
        mLimitEnforcer = limitEnforcer;
        mPreconditions = preconditions;
        mDispatcher = dispatcher;
        mNanoClock = nanoClock;
        mConfig = config;
    }

    /** A call that is a turn of a program, with the state needed to run it. */
    private record TurnContext(
            ActiveCall call,
            String requestDigest,
            ProgramClass programClass,
            HeldShard shard,
            RootProgram root,
            ProgramSession session,
            long deadlineNanos) {

        CallerRequest request() {
            return call.request();
        }

        String program() {
            return request().program().orElseThrow();
        }

        ProgramKey key() {
            return new ProgramKey(request().organisation(), program());
        }
    }

    // Operations

    @Override
    public void run(ActiveCall call, ResponseSink sink) {
        CallerRequest request = call.request();
        if (request.turn() == FIRST_TURN) {
            mPreconditions.requireCurrentConfig();
        }
        ProgramClass programClass = mPreconditions.requireProgramClass(request);
        mPreconditions.requireStore();
        HeldShard shard = mShards.enter(mShards.shardOf(request));
        try {
            runInShard(call, programClass, shard, sink);
        } finally {
            shard.exit();
        }
    }

    // Helpers: order of turns

    private void runInShard(
            ActiveCall call, ProgramClass programClass, HeldShard shard, ResponseSink sink) {
        CallerRequest request = call.request();
        String program = request.program().orElseThrow();
        ProgramKey key = new ProgramKey(request.organisation(), program);
        RootProgram root = shard.getOrCreateProgram(key.root());
        root.beginTurn(program);
        try {
            long deadlineNanos = Deadlines.after(mNanoClock.getAsLong(), request.timeoutMillis());
            ProgramSession session =
                    mOpener.open(
                            root,
                            key,
                            request,
                            programClass,
                            shard.fence(),
                            StoreFutures.deadlineNanos(mNanoClock.getAsLong(), deadlineNanos));
            TurnContext turn =
                    new TurnContext(
                            call,
                            RequestDigest.of(request),
                            programClass,
                            shard,
                            root,
                            session,
                            deadlineNanos);
            runTurn(turn, sink);
        } finally {
            root.finishTurn(program);
        }
    }

    private void runTurn(TurnContext turn, ResponseSink sink) {
        ProgramRow row = currentRow(turn);
        TurnDecision decision =
                TurnOrder.decide(
                        row.headTurn(),
                        row.headRequestDigest(),
                        row.ended(),
                        turn.request().turn(),
                        turn.requestDigest());
        switch (decision) {
            case TurnDecision.Run run -> runNewTurn(turn, row, sink);
            case TurnDecision.Replay replay -> replay(row, sink);
            case TurnDecision.Refuse refuse ->
                    throw new ResultException(
                            refuse.code(),
                            refuse.code().summary()
                                    + " Program "
                                    + turn.program()
                                    + " is at turn "
                                    + row.headTurn()
                                    + ", turn "
                                    + turn.request().turn()
                                    + " was sent.");
        }
    }

    private static ProgramRow currentRow(TurnContext turn) {
        return turn.session()
                .row(turn.program())
                .orElseThrow(
                        () ->
                                new ResultException(
                                        ResultCode.NOT_SHARD_HOLDER,
                                        "program "
                                                + turn.program()
                                                + " is held by another entry host"));
    }

    private void replay(ProgramRow row, ResponseSink sink) {
        Optional<TurnRecord> record = StoreFutures.await(mPrograms.readTurn(row));
        String storedResponse =
                record.map(TurnRecord::answer)
                        .orElseThrow(
                                () ->
                                        new ResultException(
                                                ResultCode.ANSWER_NOT_KEPT,
                                                "the history record of the turn no longer exists"));
        StoredResponse.decode(storedResponse).sendTo(sink);
    }

    // Helpers: budget, run and commit

    private void runNewTurn(TurnContext turn, ProgramRow row, ResponseSink sink) {
        mLimitEnforcer.enforce(
                turn.session(),
                turn.root(),
                row,
                turn.program(),
                turn.programClass(),
                turn.requestDigest(),
                turn.deadlineNanos());
        ProgramSession.Reservation reservation = reserveBudget(turn);
        TurnResponse response =
                new TurnResponse(sink, turn.request().streamed(), mConfig.maxResponseBytes());
        Usage usage = dispatch(turn, reservation, response);
        long usedTokens = usage.getPromptTokens() + usage.getGeneratedTokens();
        turn.session().settle(reservation, usedTokens > 0 ? usedTokens : reservation.tokens());
        turn.shard().addAttainedNanos(turn.key(), usage.getRunNanos(), mNanoClock.getAsLong());
        commit(turn, response.toStoredResponse());
        turn.root().recordCommit(turn.program(), turn.requestDigest());
        response.release();
        if (turn.request().endProgram()) {
            mLimitEnforcer.cleanUp(turn.shard(), turn.root(), turn.key());
        }
    }

    /**
     * Reserves budget for the most tokens that the turn can use. The prompt counts with its size in
     * bytes, because no tokenizer makes more tokens of a text than it has bytes.
     */
    private ProgramSession.Reservation reserveBudget(TurnContext turn) {
        long worstCaseTokens = turn.request().body().size() + turn.request().maxGeneratedTokens();
        Optional<ProgramSession.Reservation> reservation = turn.session().reserve(worstCaseTokens);
        if (reservation.isPresent()) {
            return reservation.get();
        }
        ProgramOutcome outcome =
                StoreFutures.await(
                        turn.session().extendGrant(worstCaseTokens, turn.deadlineNanos()));
        if (outcome instanceof ProgramOutcome.OwnershipLost) {
            throw new ResultException(
                    ResultCode.NOT_SHARD_HOLDER,
                    "program " + turn.program() + " is held by another entry host");
        }
        return turn.session()
                .reserve(worstCaseTokens)
                .orElseThrow(
                        () ->
                                new ResultException(
                                        ResultCode.BUDGET_EXHAUSTED,
                                        "the budget does not cover the worst case of "
                                                + worstCaseTokens
                                                + " tokens"));
    }

    private Usage dispatch(
            TurnContext turn, ProgramSession.Reservation reservation, TurnResponse response) {
        DispatchContext context =
                new DispatchContext(
                        UUID.randomUUID().toString(),
                        turn.shard().shard(),
                        turn.shard().fence(),
                        turn.deadlineNanos(),
                        mShards::leaseEndNanos,
                        turn.shard().attainedNanos(turn.key()),
                        ClassPriority.of(turn.programClass()),
                        turn.programClass().targets());
        try {
            return mDispatcher.run(turn.call(), context, response);
        } catch (ResultException e) {
            long usedTokens = e.execution() == Execution.NOT_RUN ? 0 : reservation.tokens();
            turn.session().settle(reservation, usedTokens);
            throw e;
        }
    }

    private void commit(TurnContext turn, StoredResponse response) {
        TurnCommit commit =
                new TurnCommit(
                        turn.program(),
                        turn.request().turn(),
                        turn.requestDigest(),
                        turn.request().body().toStringUtf8(),
                        response.encode(),
                        turn.request().endProgram());
        // Even if the caller's deadline has passed, the commit gets its own timeout.
        long minDeadlineNanos =
                mNanoClock.getAsLong()
                        + TimeUnit.MILLISECONDS.toNanos(mConfig.commitTimeoutMillis());
        long deadlineNanos = Math.max(turn.deadlineNanos(), minDeadlineNanos);
        ProgramOutcome outcome;
        try {
            outcome = turn.session().commitTurn(commit, deadlineNanos).join();
        } catch (CompletionException e) {
            throw toResultException(e);
        }
        if (outcome instanceof ProgramOutcome.OwnershipLost) {
            throw new ResultException(
                    ResultCode.OWNERSHIP_LOST,
                    Execution.RUN,
                    "program "
                            + turn.program()
                            + " was taken over by another entry host during the turn",
                    mConfig.retryAfterMillis());
        }
    }

    private ResultException toResultException(CompletionException failure) {
        if (failure.getCause() instanceof StoreException store) {
            return new ResultException(
                    ResultCode.HISTORY_NOT_COMMITTED,
                    Execution.RUN,
                    store.getMessage(),
                    mConfig.retryAfterMillis());
        }
        throw failure;
    }

    /**
     * Limits of calls whose outcome is made durable. Immutable.
     *
     * @param maxResponseBytes largest response that can be recorded
     * @param commitTimeoutMillis minimum time that the commit of the outcome may take
     * @param retryAfterMillis wait suggested to the caller if the commit fails
     */
    record DurableCallConfig(
            int maxResponseBytes, long commitTimeoutMillis, long retryAfterMillis) {}
}
