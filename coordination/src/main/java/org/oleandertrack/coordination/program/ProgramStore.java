package org.oleandertrack.coordination.program;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.oleandertrack.coordination.commit.CommitResult;
import org.oleandertrack.coordination.commit.GroupCommit;
import org.oleandertrack.coordination.commit.RecordLocation;
import org.oleandertrack.coordination.store.ConditionalWrite;
import org.oleandertrack.coordination.store.ObjectStore;
import org.oleandertrack.coordination.store.Row;
import org.oleandertrack.coordination.store.RowJson;
import org.oleandertrack.coordination.store.StoreException;
import org.oleandertrack.coordination.store.StoreFailures;
import org.oleandertrack.coordination.store.TableStore;
import org.oleandertrack.coordination.store.WriteIds;
import org.oleandertrack.coordination.store.WriteOutcome;
import org.oleandertrack.core.budget.BudgetAccount;
import org.oleandertrack.core.program.HistoryDigest;
import org.oleandertrack.core.result.Execution;

/**
 * Creates, adopts and reads programs. The caller holds the shard of the program and passes the
 * fencing number of the shard. Futures fail with {@link StoreException}. Thread safe.
 */
public final class ProgramStore {

    // An adoption conflicts at most once with each running turn of the former holder, when that
    // turn is committed.
    private static final int MAX_ADOPTION_ATTEMPTS = 4;
    private static final int MAX_UNCONFIRMED_OPENINGS = 4_096;

    private final TableStore mTable;
    private final ObjectStore mObjects;
    private final GroupCommit mCommit;
    private final WriteIds mWriteIds;
    private final long mGrantTokens;

    private final Object mLock = new Object();

    /**
     * Write ids, by row key, of creations and adoptions that the store did not confirm. No turn was
     * dispatched under the grant of such a write, so a row that carries one of these ids still has
     * its whole grant. When the map is full, the oldest entry is dropped, and the grant in that row
     * then counts as spent.
     */
    private final Map<String, Set<String>> mUnconfirmedOpenings =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Set<String>> eldest) {
                    return size() > MAX_UNCONFIRMED_OPENINGS;
                }
            };

    /**
     * Creates a store of programs.
     *
     * @param grantTokens size of a grant beyond the open reservations; a larger grant needs fewer
     *     writes, but makes more of the budget unusable after a crash
     */
    public ProgramStore(
            TableStore table,
            ObjectStore objects,
            GroupCommit commit,
            RandomGenerator random,
            long grantTokens) {
        mTable = table;
        mObjects = objects;
        mCommit = commit;
        mWriteIds = new WriteIds(random);
        mGrantTokens = grantTokens;
    }

    // Operations.

    /**
     * Creates a root program together with its first grant.
     *
     * @param createdMillis time of creation, in milliseconds since 1970
     * @param deadlineNanos nano clock reading at which the attempt is given up
     */
    public CompletableFuture<OpenOutcome> create(
            ProgramKey key,
            String programClass,
            long budgetTokens,
            long createdMillis,
            long fence,
            long deadlineNanos) {
        requireRoot(key);
        BudgetAccount account = BudgetAccount.open(budgetTokens, mGrantTokens);
        ProgramRow row =
                ProgramRow.create(programClass, account, fence, createdMillis, mWriteIds.next());
        return open(key, 0, row, deadlineNanos)
                .thenApply(opened -> opened.orElseGet(OpenOutcome.Exists::new));
    }

    /**
     * Takes over a root program: rewrites its row with the fencing number of this holder, so that
     * later commits of the former holder conflict. An unsettled grant of the former holder counts
     * as spent.
     *
     * @param deadlineNanos nano clock reading at which the attempt is given up
     */
    public CompletableFuture<OpenOutcome> adopt(ProgramKey key, long fence, long deadlineNanos) {
        requireRoot(key);
        return adopt(key, fence, deadlineNanos, MAX_ADOPTION_ATTEMPTS);
    }

    /** Reads the stored row of a program, which another holder may change at any time. */
    public CompletableFuture<Optional<ProgramRow>> find(ProgramKey key) {
        return mTable.get(key.rowKey())
                .thenApply(row -> row.map(found -> RowJson.decode(found, ProgramRow.class)));
    }

    /**
     * Reads the record of a program's last committed turn.
     *
     * @return empty if no turn is committed or the batch object does not exist any more; the future
     *     fails with an {@link IllegalStateException} if the record does not match its digest
     */
    public CompletableFuture<Optional<TurnRecord>> readTurn(ProgramRow row) {
        return readTurn(row.location(), row.headDigest());
    }

    /** Reads the record at a location and checks its digest like {@link #readTurn(ProgramRow)}. */
    public CompletableFuture<Optional<TurnRecord>> readTurn(
            RecordLocation location, String expectedDigest) {
        if (location.batch().isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return mObjects.get(location.batch())
                .thenApply(
                        object ->
                                object.map(data -> decodeVerified(data, location, expectedDigest)));
    }

    // Helpers.

    private CompletableFuture<OpenOutcome> adopt(
            ProgramKey key, long fence, long deadlineNanos, int attemptsLeft) {
        if (attemptsLeft == 0) {
            return CompletableFuture.failedFuture(
                    new StoreException(
                            Execution.NOT_RUN,
                            key.rowKey() + " was not adopted: every attempt had a conflict",
                            null));
        }
        return StoreFailures.failAsNotRun(mTable.get(key.rowKey()))
                .thenCompose(
                        found -> {
                            if (found.isEmpty()) {
                                return CompletableFuture.completedFuture(new OpenOutcome.Missing());
                            }
                            Row row = found.get();
                            ProgramRow current = RowJson.decode(row, ProgramRow.class);
                            if (current.fence() > fence) {
                                return CompletableFuture.completedFuture(
                                        new OpenOutcome.Fenced(current.fence()));
                            }
                            ProgramRow adopted = adoptedRow(key, current, fence);
                            return open(key, row.version(), adopted, deadlineNanos)
                                    .thenCompose(
                                            opened ->
                                                    opened.map(CompletableFuture::completedFuture)
                                                            .orElseGet(
                                                                    () ->
                                                                            adopt(
                                                                                    key,
                                                                                    fence,
                                                                                    deadlineNanos,
                                                                                    attemptsLeft
                                                                                            - 1)));
                        });
    }

    private ProgramRow adoptedRow(ProgramKey key, ProgramRow current, long fence) {
        boolean isGrantUnused;
        synchronized (mLock) {
            isGrantUnused =
                    mUnconfirmedOpenings
                            .getOrDefault(key.rowKey(), Set.of())
                            .contains(current.writeId());
        }
        BudgetAccount account =
                isGrantUnused
                        ? current.account().withGrant(mGrantTokens)
                        : current.account().afterTakeover(mGrantTokens);
        String writeId = mWriteIds.next();
        return current.withFence(fence, writeId).withAccount(account, writeId);
    }

    /** Writes the row of a created or adopted program; empty if the row's version has changed. */
    private CompletableFuture<Optional<OpenOutcome>> open(
            ProgramKey key, long version, ProgramRow row, long deadlineNanos) {
        ConditionalWrite write =
                new ConditionalWrite(key.rowKey(), version, Optional.of(RowJson.encode(row)));
        return mCommit.submit(List.of(write), deadlineNanos)
                .whenComplete((result, failure) -> recordOpening(key, row, result, failure))
                .thenApply(
                        result ->
                                result.outcomes().getFirst() instanceof WriteOutcome.Applied applied
                                        ? Optional.of(
                                                new OpenOutcome.Opened(
                                                        session(key, row, applied.version())))
                                        : Optional.empty());
    }

    // A conflict does not remove the ids, because a write with one of them may have caused it.
    private void recordOpening(
            ProgramKey key, ProgramRow row, CommitResult result, Throwable failure) {
        synchronized (mLock) {
            if (failure != null && StoreFailures.executionOf(failure) != Execution.NOT_RUN) {
                mUnconfirmedOpenings
                        .computeIfAbsent(key.rowKey(), absent -> new HashSet<>())
                        .add(row.writeId());
            } else if (failure == null
                    && result.outcomes().getFirst() instanceof WriteOutcome.Applied) {
                mUnconfirmedOpenings.remove(key.rowKey());
            }
        }
    }

    private ProgramSession session(ProgramKey key, ProgramRow row, long version) {
        return new ProgramSession(key, row, version, mTable, mCommit, mWriteIds, mGrantTokens);
    }

    static TurnRecord decodeVerified(byte[] data, RecordLocation location, String expectedDigest) {
        byte[] bytes =
                Arrays.copyOfRange(data, location.offset(), location.offset() + location.length());
        TurnRecord record =
                RowJson.decode(
                        location.toString(),
                        new String(bytes, StandardCharsets.UTF_8),
                        TurnRecord.class);
        if (!HistoryDigest.next(record.predecessorDigest(), bytes).equals(expectedDigest)) {
            throw new IllegalStateException("record does not match its digest: " + location);
        }
        return record;
    }

    private static void requireRoot(ProgramKey key) {
        if (!key.isRoot()) {
            throw new IllegalArgumentException(key + " is not a root program");
        }
    }
}
