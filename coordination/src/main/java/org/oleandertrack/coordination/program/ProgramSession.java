package org.oleandertrack.coordination.program;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.oleandertrack.coordination.commit.CommitResult;
import org.oleandertrack.coordination.commit.GroupCommit;
import org.oleandertrack.coordination.commit.RecordLocation;
import org.oleandertrack.coordination.store.ConditionalWrite;
import org.oleandertrack.coordination.store.Row;
import org.oleandertrack.coordination.store.RowJson;
import org.oleandertrack.coordination.store.StoreException;
import org.oleandertrack.coordination.store.StoreFailures;
import org.oleandertrack.coordination.store.TableStore;
import org.oleandertrack.coordination.store.WriteIds;
import org.oleandertrack.coordination.store.WriteOutcome;
import org.oleandertrack.core.budget.BudgetAccount;
import org.oleandertrack.core.budget.GrantLedger;
import org.oleandertrack.core.program.HistoryDigest;
import org.oleandertrack.core.result.Execution;

/**
 * State in memory of a root program and its sub-agents that this process created or adopted.
 *
 * <p>The writes of a session run one after another, because they share the row of the root program.
 * A write that certainly was not applied leaves the session usable. After a loss of ownership or a
 * write of unknown outcome the session is unusable and the program has to be adopted again; the
 * grant then counts as spent.
 *
 * <p>Futures fail with {@link StoreException}. A write first waits for the earlier writes of the
 * session, so its future may complete after its deadline, by as much as this wait. Thread safe.
 */
public final class ProgramSession {

    /** Tokens of the grant that are reserved for a turn, as many as it can use at most. */
    public static final class Reservation {
        private final long mTokens;
        private final AtomicBoolean mSettled = new AtomicBoolean();

        private Reservation(long tokens) {
            mTokens = tokens;
        }

        /** Returns the number of reserved tokens. */
        public long tokens() {
            return mTokens;
        }
    }

    /** The row of a program as last confirmed, with its version. */
    private static final class VersionedRow {
        private ProgramRow mRow;
        private long mVersion;

        private VersionedRow(ProgramRow row, long version) {
            mRow = row;
            mVersion = version;
        }
    }

    /** A write of a program's row: the known row and the one that replaces it. */
    private record RowUpdate(ProgramKey key, VersionedRow before, ProgramRow after) {
        ConditionalWrite write() {
            return new ConditionalWrite(
                    key.rowKey(), before.mVersion, Optional.of(RowJson.encode(after)));
        }
    }

    private final ProgramKey mRootKey;
    private final long mFence;
    private final TableStore mTable;
    private final GroupCommit mCommit;
    private final WriteIds mWriteIds;
    private final long mGrantTokens;

    private final Object mLock = new Object();
    private final Map<String, VersionedRow> mRows = new HashMap<>();
    private final GrantLedger mLedger;
    private CompletableFuture<?> mLastWrite = CompletableFuture.completedFuture(null);
    private boolean mUsable = true;

    ProgramSession(
            ProgramKey rootKey,
            ProgramRow root,
            long version,
            TableStore table,
            GroupCommit commit,
            WriteIds writeIds,
            long grantTokens) {
        mRootKey = rootKey;
        mFence = root.fence();
        mTable = table;
        mCommit = commit;
        mWriteIds = writeIds;
        mGrantTokens = grantTokens;
        mLedger = new GrantLedger(root.account());
        mRows.put(rootKey.program(), new VersionedRow(root, version));
    }

    // Accessors.

    /** Returns the fencing number under which the program was adopted. */
    public long fence() {
        return mFence;
    }

    /** Returns whether the session can still write and reserve. */
    public boolean isUsable() {
        synchronized (mLock) {
            return mUsable;
        }
    }

    /**
     * Returns the row of the root program or of an opened sub-agent as last confirmed.
     *
     * @param program id of the program
     */
    public Optional<ProgramRow> row(String program) {
        synchronized (mLock) {
            return Optional.ofNullable(mRows.get(program)).map(known -> known.mRow);
        }
    }

    // Operations.

    /**
     * Reserves part of the grant for a turn.
     *
     * @param worstCaseTokens largest number of tokens that the turn can use
     * @return empty if the grant does not cover the tokens or the session is unusable
     */
    public Optional<Reservation> reserve(long worstCaseTokens) {
        synchronized (mLock) {
            return mUsable && mLedger.reserve(worstCaseTokens)
                    ? Optional.of(new Reservation(worstCaseTokens))
                    : Optional.empty();
        }
    }

    /**
     * Replaces a reservation by the tokens that the turn used, whether or not the turn commits.
     *
     * @throws IllegalStateException if the reservation is settled already
     */
    public void settle(Reservation reservation, long usedTokens) {
        if (reservation.mSettled.getAndSet(true)) {
            throw new IllegalStateException("reservation is already settled");
        }
        synchronized (mLock) {
            mLedger.settle(reservation.mTokens, usedTokens);
        }
    }

    /**
     * Raises the grant so that the given number of tokens can be reserved, as far as the budget
     * allows. The next {@link #reserve} shows whether the grant covers that number.
     */
    public CompletableFuture<ProgramOutcome> extendGrant(long worstCaseTokens, long deadlineNanos) {
        return runInSequence(
                () -> {
                    BudgetAccount account;
                    long usedTokens;
                    RowUpdate update;
                    synchronized (mLock) {
                        usedTokens = mLedger.usedTokens();
                        account = mLedger.nextAccount(Math.max(worstCaseTokens, mGrantTokens));
                        VersionedRow root = mRows.get(mRootKey.program());
                        update =
                                new RowUpdate(
                                        mRootKey,
                                        root,
                                        root.mRow.withAccount(account, mWriteIds.next()));
                    }
                    return mCommit.submit(List.of(update.write()), deadlineNanos)
                            .thenApply(
                                    result ->
                                            applyResult(
                                                    List.of(update), result, account, usedTokens));
                });
    }

    /**
     * Adopts the row of a sub-agent, or creates the row if it is absent.
     *
     * @param createdMillis time of creation, in milliseconds since 1970
     * @throws IllegalArgumentException if the key is not that of a sub-agent of this root program
     */
    public CompletableFuture<ProgramOutcome> openSubAgent(
            ProgramKey key, String programClass, long createdMillis, long deadlineNanos) {
        if (key.isRoot() || !key.root().equals(mRootKey)) {
            throw new IllegalArgumentException(key + " is not a sub-agent of " + mRootKey);
        }
        return runInSequence(
                () -> {
                    Optional<ProgramRow> known = row(key.program());
                    if (known.isPresent()) {
                        return CompletableFuture.completedFuture(
                                new ProgramOutcome.Written(known.get()));
                    }
                    return StoreFailures.failAsNotRun(mTable.get(key.rowKey()))
                            .thenCompose(
                                    found ->
                                            adoptOrCreateSubAgent(
                                                    key,
                                                    found,
                                                    programClass,
                                                    createdMillis,
                                                    deadlineNanos));
                });
    }

    /**
     * Commits a turn: stores its record and updates the rows of its program and of the root program
     * with the new last turn, the settled tokens and the renewed grant. Each row is written on
     * condition that it still has the version that this session wrote last.
     */
    public CompletableFuture<ProgramOutcome> commitTurn(TurnCommit turn, long deadlineNanos) {
        return runInSequence(
                () -> {
                    ProgramKey key = new ProgramKey(mRootKey.organisation(), turn.program());
                    BudgetAccount account;
                    long usedTokens;
                    VersionedRow program;
                    synchronized (mLock) {
                        program = mRows.get(turn.program());
                        usedTokens = mLedger.usedTokens();
                        account = mLedger.nextAccount(mGrantTokens);
                    }
                    requireNextTurn(key, program, turn);
                    byte[] record = encodeRecord(key, program.mRow, turn);
                    String digest = HistoryDigest.next(program.mRow.headDigest(), record);
                    String writeId = mWriteIds.next();
                    return mCommit.submit(
                                    record,
                                    location ->
                                            turnUpdates(
                                                            key, program, turn, digest, location,
                                                            account, writeId)
                                                    .stream()
                                                    .map(RowUpdate::write)
                                                    .toList(),
                                    deadlineNanos)
                            .thenApply(
                                    result ->
                                            applyResult(
                                                    turnUpdates(
                                                            key,
                                                            program,
                                                            turn,
                                                            digest,
                                                            result.location().orElseThrow(),
                                                            account,
                                                            writeId),
                                                    result,
                                                    account,
                                                    usedTokens));
                });
    }

    /** Ends a program without committing a turn, and settles the tokens used so far. */
    public CompletableFuture<ProgramOutcome> end(String programId, long deadlineNanos) {
        return runInSequence(
                () -> {
                    ProgramKey key = new ProgramKey(mRootKey.organisation(), programId);
                    BudgetAccount account;
                    long usedTokens;
                    List<RowUpdate> updates;
                    synchronized (mLock) {
                        VersionedRow program = mRows.get(programId);
                        usedTokens = mLedger.usedTokens();
                        account = mLedger.nextAccount(0);
                        updates = updatesWithAccount(key, program, endedRow(program), account);
                    }
                    return mCommit.submit(
                                    updates.stream().map(RowUpdate::write).toList(), deadlineNanos)
                            .thenApply(result -> applyResult(updates, result, account, usedTokens));
                });
    }

    // Helpers.

    private ProgramRow endedRow(VersionedRow program) {
        return program.mRow.withEnded(mWriteIds.next());
    }

    private CompletableFuture<ProgramOutcome> adoptOrCreateSubAgent(
            ProgramKey key,
            Optional<Row> found,
            String programClass,
            long createdMillis,
            long deadlineNanos) {
        Optional<ProgramRow> current = found.map(row -> RowJson.decode(row, ProgramRow.class));
        if (current.isPresent() && current.get().fence() > mFence) {
            return CompletableFuture.completedFuture(endSession());
        }
        BudgetAccount noBudget = new BudgetAccount(0, 0, 0);
        ProgramRow row =
                current.map(before -> before.withFence(mFence, mWriteIds.next()))
                        .orElseGet(
                                () ->
                                        ProgramRow.create(
                                                programClass,
                                                noBudget,
                                                mFence,
                                                createdMillis,
                                                mWriteIds.next()));
        VersionedRow before = new VersionedRow(row, found.map(Row::version).orElse(0L));
        return mCommit.submit(List.of(new RowUpdate(key, before, row).write()), deadlineNanos)
                .thenApply(
                        result -> {
                            if (!(result.outcomes().getFirst()
                                    instanceof WriteOutcome.Applied applied)) {
                                return endSession();
                            }
                            synchronized (mLock) {
                                mRows.put(key.program(), new VersionedRow(row, applied.version()));
                            }
                            return new ProgramOutcome.Written(row);
                        });
    }

    private List<RowUpdate> turnUpdates(
            ProgramKey key,
            VersionedRow program,
            TurnCommit turn,
            String digest,
            RecordLocation location,
            BudgetAccount account,
            String writeId) {
        ProgramRow after =
                program.mRow.withHead(turn.turn(), digest, turn.requestDigest(), location, writeId);
        synchronized (mLock) {
            return updatesWithAccount(
                    key, program, turn.endsProgram() ? after.withEnded(writeId) : after, account);
        }
    }

    /** Returns the updates of a program's row and of the account in the row of its root program. */
    private List<RowUpdate> updatesWithAccount(
            ProgramKey key, VersionedRow program, ProgramRow after, BudgetAccount account) {
        if (key.isRoot()) {
            return List.of(
                    new RowUpdate(key, program, after.withAccount(account, after.writeId())));
        }
        VersionedRow root = mRows.get(mRootKey.program());
        ProgramRow rootAfter = root.mRow.withAccount(account, after.writeId());
        return List.of(
                new RowUpdate(key, program, after), new RowUpdate(mRootKey, root, rootAfter));
    }

    /**
     * Updates the session from the result of a write and returns its outcome. The first update
     * decides the outcome. If only the update of the root's row failed, because another holder has
     * adopted the root program, the session becomes unusable; that holder counts the grant as
     * spent.
     */
    private ProgramOutcome applyResult(
            List<RowUpdate> updates,
            CommitResult result,
            BudgetAccount account,
            long settledTokens) {
        List<Long> versions = new ArrayList<>();
        for (WriteOutcome outcome : result.outcomes()) {
            versions.add(outcome instanceof WriteOutcome.Applied applied ? applied.version() : 0L);
        }
        synchronized (mLock) {
            for (int i = 0; i < updates.size(); i++) {
                if (versions.get(i) > 0) {
                    updates.get(i).before().mRow = updates.get(i).after();
                    updates.get(i).before().mVersion = versions.get(i);
                } else {
                    mUsable = false;
                }
            }
            if (versions.getLast() > 0) {
                mLedger.confirmWritten(account, settledTokens);
            }
        }
        return versions.getFirst() > 0
                ? new ProgramOutcome.Written(updates.getFirst().after())
                : new ProgramOutcome.OwnershipLost();
    }

    /** Makes the session unusable, and returns the outcome of a write after that. */
    private ProgramOutcome endSession() {
        synchronized (mLock) {
            mUsable = false;
        }
        return new ProgramOutcome.OwnershipLost();
    }

    /** Runs a write after the earlier writes of this session have ended. */
    private CompletableFuture<ProgramOutcome> runInSequence(
            Supplier<CompletableFuture<ProgramOutcome>> write) {
        CompletableFuture<ProgramOutcome> result = new CompletableFuture<>();
        CompletableFuture<?> before;
        synchronized (mLock) {
            before = mLastWrite;
            mLastWrite = result;
        }
        var _ =
                before.handle((done, failure) -> null)
                        .thenCompose(
                                ready ->
                                        isUsable()
                                                ? write.get()
                                                : CompletableFuture.completedFuture(endSession()))
                        .whenComplete((outcome, failure) -> onWriteEnded(result, outcome, failure));
        return result;
    }

    private void onWriteEnded(
            CompletableFuture<ProgramOutcome> result, ProgramOutcome outcome, Throwable failure) {
        if (failure == null) {
            result.complete(outcome);
            return;
        }
        if (StoreFailures.executionOf(failure) != Execution.NOT_RUN) {
            var _ = endSession();
        }
        result.completeExceptionally(StoreFailures.asStoreException(failure));
    }

    private void requireNextTurn(ProgramKey key, VersionedRow program, TurnCommit turn) {
        if (program == null || program.mRow.ended() || turn.turn() != program.mRow.headTurn() + 1) {
            throw new StoreException(
                    Execution.NOT_RUN,
                    "turn %d is not the next one of %s, or the program is not open"
                            .formatted(turn.turn(), key),
                    null);
        }
    }

    private static byte[] encodeRecord(ProgramKey key, ProgramRow row, TurnCommit turn) {
        TurnRecord record =
                new TurnRecord(
                        key.organisation(),
                        key.program(),
                        turn.turn(),
                        row.headDigest(),
                        row.location(),
                        turn.requestDigest(),
                        turn.request(),
                        turn.answer());
        return RowJson.encode(record).getBytes(StandardCharsets.UTF_8);
    }
}
