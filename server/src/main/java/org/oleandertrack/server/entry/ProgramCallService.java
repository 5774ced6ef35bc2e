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
 * Runs turns of programs whose shard is held here: in order, within the budget, and with a durable
 * history before the answer is released. Thread safe.
 */
final class ProgramCallService implements LocalCallService.ActiveCallService {

    private static final int FIRST_TURN = 1;

    private final ShardRegistry mShards;
    private final ProgramStore mPrograms;
    private final ProgramOpener mOpener;
    private final ProgramLimits mLimits;
    private final CallPreconditions mPreconditions;
    private final Dispatcher mDispatcher;
    private final LongSupplier mNanoClock;
    private final ProgramCallConfig mSettings;

    ProgramCallService(
            ShardRegistry shards,
            ProgramStore programs,
            ProgramOpener opener,
            ProgramLimits limits,
            CallPreconditions preconditions,
            Dispatcher dispatcher,
            LongSupplier nanoClock,
            ProgramCallConfig settings) {
        mShards = shards;
        mPrograms = programs;
        mOpener = opener;
        mLimits = limits;
        mPreconditions = preconditions;
        mDispatcher = dispatcher;
        mNanoClock = nanoClock;
        mSettings = settings;
    }

    /** A turn with everything that running it needs. */
    private record Turn(
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
        ProgramClass programClass = mPreconditions.programClass(request);
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
        RootProgram root = shard.program(key.root());
        root.begin(program);
        try {
            long deadlineNanos = Deadlines.after(mNanoClock.getAsLong(), request.timeoutMillis());
            ProgramSession session =
                    mOpener.open(
                            root,
                            key,
                            request,
                            programClass,
                            shard.fence(),
                            StoreCalls.deadlineNanos(mNanoClock.getAsLong(), deadlineNanos));
            Turn turn =
                    new Turn(
                            call,
                            RequestDigest.of(request),
                            programClass,
                            shard,
                            root,
                            session,
                            deadlineNanos);
            runTurn(turn, sink);
        } finally {
            root.finish(program);
        }
    }

    private void runTurn(Turn turn, ResponseSink sink) {
        ProgramRow row = rowOf(turn);
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

    private static ProgramRow rowOf(Turn turn) {
        return turn.session()
                .row(turn.program())
                .orElseThrow(
                        () ->
                                new ResultException(
                                        ResultCode.NOT_SHARD_HOLDER,
                                        "program " + turn.program() + " has another holder"));
    }

    private void replay(ProgramRow row, ResponseSink sink) {
        Optional<TurnRecord> record = StoreCalls.await(mPrograms.readTurn(row));
        String answer =
                record.map(TurnRecord::answer)
                        .orElseThrow(
                                () ->
                                        new ResultException(
                                                ResultCode.ANSWER_NOT_KEPT,
                                                "the record of the turn is gone"));
        StoredAnswer.decode(answer).sendTo(sink);
    }

    // Helpers: budget, run and commit

    private void runNewTurn(Turn turn, ProgramRow row, ResponseSink sink) {
        mLimits.check(
                turn.session(),
                turn.root(),
                row,
                turn.program(),
                turn.programClass(),
                turn.requestDigest(),
                turn.deadlineNanos());
        ProgramSession.Reservation reservation = reserve(turn);
        TurnAnswer answer =
                new TurnAnswer(sink, turn.request().streamed(), mSettings.maxAnswerBytes());
        Usage usage = dispatch(turn, reservation, answer);
        long used = usage.getPromptTokens() + usage.getGeneratedTokens();
        turn.session().settle(reservation, used > 0 ? used : reservation.tokens());
        turn.shard().attained(turn.key(), usage.getRunNanos(), mNanoClock.getAsLong());
        commit(turn, answer.answer());
        turn.root().committed(turn.program(), turn.requestDigest());
        answer.release();
        if (turn.request().endProgram()) {
            mLimits.ended(turn.shard(), turn.root(), turn.key());
        }
    }

    /** The worst case: no tokenizer makes more tokens of a prompt than it has bytes. */
    private ProgramSession.Reservation reserve(Turn turn) {
        long worstCaseTokens = turn.request().body().size() + turn.request().maxGeneratedTokens();
        Optional<ProgramSession.Reservation> reservation = turn.session().reserve(worstCaseTokens);
        if (reservation.isPresent()) {
            return reservation.get();
        }
        ProgramOutcome outcome =
                StoreCalls.await(turn.session().extendGrant(worstCaseTokens, turn.deadlineNanos()));
        if (outcome instanceof ProgramOutcome.OwnershipLost) {
            throw new ResultException(
                    ResultCode.NOT_SHARD_HOLDER,
                    "program " + turn.program() + " has another holder");
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

    private Usage dispatch(Turn turn, ProgramSession.Reservation reservation, TurnAnswer answer) {
        DispatchGrant grant =
                new DispatchGrant(
                        UUID.randomUUID().toString(),
                        turn.shard().shard(),
                        turn.shard().fence(),
                        turn.deadlineNanos(),
                        mShards::leaseEndNanos,
                        turn.shard().attainedNanos(turn.key()),
                        ClassPriority.of(turn.programClass()),
                        turn.programClass().targets());
        try {
            return mDispatcher.run(turn.call(), grant, answer);
        } catch (ResultException e) {
            long used = e.execution() == Execution.NOT_RUN ? 0 : reservation.tokens();
            turn.session().settle(reservation, used);
            throw e;
        }
    }

    private void commit(Turn turn, StoredAnswer answer) {
        TurnCommit commit =
                new TurnCommit(
                        turn.program(),
                        turn.request().turn(),
                        turn.requestDigest(),
                        turn.request().body().toStringUtf8(),
                        answer.encode(),
                        turn.request().endProgram());
        long patience =
                mNanoClock.getAsLong()
                        + TimeUnit.MILLISECONDS.toNanos(mSettings.commitDeadlineMillis());
        long deadlineNanos = Math.max(turn.deadlineNanos(), patience);
        ProgramOutcome outcome;
        try {
            outcome = turn.session().commitTurn(commit, deadlineNanos).join();
        } catch (CompletionException e) {
            throw notCommitted(e);
        }
        if (outcome instanceof ProgramOutcome.OwnershipLost) {
            throw new ResultException(
                    ResultCode.OWNERSHIP_LOST,
                    Execution.RUN,
                    "program " + turn.program() + " was taken over during the turn",
                    mSettings.retryAfterMillis());
        }
    }

    private ResultException notCommitted(CompletionException failure) {
        if (failure.getCause() instanceof StoreException store) {
            return new ResultException(
                    ResultCode.HISTORY_NOT_COMMITTED,
                    Execution.RUN,
                    store.getMessage(),
                    mSettings.retryAfterMillis());
        }
        throw failure;
    }

    /** Bounds of turns. Immutable. */
    record ProgramCallConfig(
            int maxAnswerBytes, long commitDeadlineMillis, long retryAfterMillis) {}
}
