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
 * session, so its future may complete later than its deadline by that time. Thread safe.
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
    private static final class Versioned {
        private ProgramRow mRow;
        private long mVersion;

        private Versioned(ProgramRow row, long version) {
            mRow = row;
            mVersion = version;
        }
    }

    /** A write of a program's row: the known row and the one that replaces it. */
    private record Change(ProgramKey key, Versioned before, ProgramRow after) {
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
    private final Map<String, Versioned> mPrograms = new HashMap<>();
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
        mPrograms.put(rootKey.program(), new Versioned(root, version));
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
            return Optional.ofNullable(mPrograms.get(program)).map(known -> known.mRow);
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
     * Replaces a reservation by the tokens that the turn used, whether or not it is committed.
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
     * Raises the grant so that the given tokens can be reserved, as far as the budget allows. The
     * next {@link #reserve} shows whether the grant covers them.
     */
    public CompletableFuture<ProgramOutcome> extendGrant(long worstCaseTokens, long deadlineNanos) {
        return inTurn(
                () -> {
                    BudgetAccount account;
                    long used;
                    Change change;
                    synchronized (mLock) {
                        used = mLedger.usedTokens();
                        account = mLedger.next(Math.max(worstCaseTokens, mGrantTokens));
                        Versioned root = mPrograms.get(mRootKey.program());
                        change =
                                new Change(
                                        mRootKey,
                                        root,
                                        root.mRow.withAccount(account, mWriteIds.next()));
                    }
                    return mCommit.submit(List.of(change.write()), deadlineNanos)
                            .thenApply(result -> taken(List.of(change), result, account, used));
                });
    }

    /**
     * Adopts the row of a sub-agent, or creates the row if it is absent.
     *
     * @param createdMillis time of creation, in milliseconds since 1970
     * @throws IllegalArgumentException if the key is not that of a sub-agent of this root program
     */
    public CompletableFuture<ProgramOutcome> openChild(
            ProgramKey key, String programClass, long createdMillis, long deadlineNanos) {
        if (key.isRoot() || !key.root().equals(mRootKey)) {
            throw new IllegalArgumentException(key + " is not a sub-agent of " + mRootKey);
        }
        return inTurn(
                () -> {
                    Optional<ProgramRow> known = row(key.program());
                    if (known.isPresent()) {
                        return CompletableFuture.completedFuture(
                                new ProgramOutcome.Written(known.get()));
                    }
                    return StoreFailures.asNotRun(mTable.get(key.rowKey()))
                            .thenCompose(
                                    found ->
                                            adoptChild(
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
        return inTurn(
                () -> {
                    ProgramKey key = new ProgramKey(mRootKey.organisation(), turn.program());
                    BudgetAccount account;
                    long used;
                    Versioned program;
                    synchronized (mLock) {
                        program = mPrograms.get(turn.program());
                        used = mLedger.usedTokens();
                        account = mLedger.next(mGrantTokens);
                    }
                    requireNext(key, program, turn);
                    byte[] record = record(key, program.mRow, turn);
                    String digest = HistoryDigest.next(program.mRow.headDigest(), record);
                    String id = mWriteIds.next();
                    return mCommit.submit(
                                    record,
                                    at ->
                                            changes(key, program, turn, digest, at, account, id)
                                                    .stream()
                                                    .map(Change::write)
                                                    .toList(),
                                    deadlineNanos)
                            .thenApply(
                                    result ->
                                            taken(
                                                    changes(
                                                            key,
                                                            program,
                                                            turn,
                                                            digest,
                                                            result.location().orElseThrow(),
                                                            account,
                                                            id),
                                                    result,
                                                    account,
                                                    used));
                });
    }

    /** Ends a program without committing a turn, and settles the tokens used so far. */
    public CompletableFuture<ProgramOutcome> end(String programId, long deadlineNanos) {
        return inTurn(
                () -> {
                    ProgramKey key = new ProgramKey(mRootKey.organisation(), programId);
                    BudgetAccount account;
                    long used;
                    List<Change> changes;
                    synchronized (mLock) {
                        Versioned program = mPrograms.get(programId);
                        used = mLedger.usedTokens();
                        account = mLedger.next(0);
                        changes = withAccount(key, program, ended(program), account);
                    }
                    return mCommit.submit(
                                    changes.stream().map(Change::write).toList(), deadlineNanos)
                            .thenApply(result -> taken(changes, result, account, used));
                });
    }

    // Helpers.

    private ProgramRow ended(Versioned program) {
        return program.mRow.withEnded(mWriteIds.next());
    }

    private CompletableFuture<ProgramOutcome> adoptChild(
            ProgramKey key,
            Optional<Row> found,
            String programClass,
            long createdMillis,
            long deadlineNanos) {
        Optional<ProgramRow> current = found.map(row -> RowJson.decode(row, ProgramRow.class));
        if (current.isPresent() && current.get().fence() > mFence) {
            return CompletableFuture.completedFuture(lost());
        }
        BudgetAccount none = new BudgetAccount(0, 0, 0);
        ProgramRow row =
                current.map(before -> before.withFence(mFence, mWriteIds.next()))
                        .orElseGet(
                                () ->
                                        ProgramRow.create(
                                                programClass,
                                                none,
                                                mFence,
                                                createdMillis,
                                                mWriteIds.next()));
        Versioned before = new Versioned(row, found.map(Row::version).orElse(0L));
        return mCommit.submit(List.of(new Change(key, before, row).write()), deadlineNanos)
                .thenApply(
                        result -> {
                            if (!(result.outcomes().getFirst()
                                    instanceof WriteOutcome.Applied applied)) {
                                return lost();
                            }
                            synchronized (mLock) {
                                mPrograms.put(key.program(), new Versioned(row, applied.version()));
                            }
                            return new ProgramOutcome.Written(row);
                        });
    }

    private List<Change> changes(
            ProgramKey key,
            Versioned program,
            TurnCommit turn,
            String digest,
            RecordLocation at,
            BudgetAccount account,
            String id) {
        ProgramRow after = program.mRow.withHead(turn.turn(), digest, turn.requestDigest(), at, id);
        synchronized (mLock) {
            return withAccount(key, program, turn.end() ? after.withEnded(id) : after, account);
        }
    }

    /** Returns the writes of a program's row and of the account in the row of its root program. */
    private List<Change> withAccount(
            ProgramKey key, Versioned program, ProgramRow after, BudgetAccount account) {
        if (key.isRoot()) {
            return List.of(new Change(key, program, after.withAccount(account, after.writeId())));
        }
        Versioned root = mPrograms.get(mRootKey.program());
        ProgramRow rootAfter = root.mRow.withAccount(account, after.writeId());
        return List.of(new Change(key, program, after), new Change(mRootKey, root, rootAfter));
    }

    /**
     * Updates the session from the result of a write and returns its outcome. The first change
     * decides the outcome. If only the write of the root's row failed, because another holder has
     * adopted the root program, the session becomes unusable; that holder counts the grant as
     * spent.
     */
    private ProgramOutcome taken(
            List<Change> changes, CommitResult result, BudgetAccount account, long settled) {
        List<Long> versions = new ArrayList<>();
        for (WriteOutcome outcome : result.outcomes()) {
            versions.add(outcome instanceof WriteOutcome.Applied applied ? applied.version() : 0L);
        }
        synchronized (mLock) {
            for (int i = 0; i < changes.size(); i++) {
                if (versions.get(i) > 0) {
                    changes.get(i).before().mRow = changes.get(i).after();
                    changes.get(i).before().mVersion = versions.get(i);
                } else {
                    mUsable = false;
                }
            }
            if (versions.getLast() > 0) {
                mLedger.written(account, settled);
            }
        }
        return versions.getFirst() > 0
                ? new ProgramOutcome.Written(changes.getFirst().after())
                : new ProgramOutcome.OwnershipLost();
    }

    private ProgramOutcome lost() {
        synchronized (mLock) {
            mUsable = false;
        }
        return new ProgramOutcome.OwnershipLost();
    }

    /** Runs a write after the earlier writes of this session have ended. */
    private CompletableFuture<ProgramOutcome> inTurn(
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
                                                : CompletableFuture.completedFuture(lost()))
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
            var _ = lost();
        }
        result.completeExceptionally(StoreFailures.asStoreException(failure));
    }

    private void requireNext(ProgramKey key, Versioned program, TurnCommit turn) {
        if (program == null || program.mRow.ended() || turn.turn() != program.mRow.headTurn() + 1) {
            throw new StoreException(
                    Execution.NOT_RUN,
                    "turn %d is not the next one of %s, or the program is not open"
                            .formatted(turn.turn(), key),
                    null);
        }
    }

    private static byte[] record(ProgramKey key, ProgramRow row, TurnCommit turn) {
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
