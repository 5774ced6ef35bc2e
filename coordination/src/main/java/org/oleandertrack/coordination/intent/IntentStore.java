package org.oleandertrack.coordination.intent;

import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
import org.oleandertrack.core.result.Execution;

/**
 * Durable intents of calls that may run at most once. A call is dispatched only after its intent
 * was confirmed, and only by the process that got {@link IntentOutcome.Started}.
 *
 * <p>A key that was freed keeps its row, in the state "not run": a deleted row would start again at
 * version 1, and a late write for the earlier row could then hit the new one.
 *
 * <p>Futures fail with {@link StoreException}; after a failed {@link #begin} the call must not be
 * dispatched. Thread safe.
 */
public final class IntentStore {

    private static final int BEGIN_ATTEMPTS = 4;
    private static final int MAX_NEVER_DISPATCHED = 4_096;
    // Larger answers go to the batch object, so that rows stay small.
    private static final int MAX_INLINE_BYTES = 2_048;
    private static final RecordLocation NOWHERE = new RecordLocation("", 0, 0);

    private final TableStore mTable;
    private final ObjectStore mObjects;
    private final GroupCommit mCommit;
    private final WriteIds mWriteIds;

    private final Object mLock = new Object();
    private final Map<String, String> mRunning = new HashMap<>();

    /**
     * Attempts whose intent was not confirmed in time and which were therefore not dispatched. An
     * attempt that is dropped when the map is full is answered as unknown, which is safe.
     */
    private final Map<String, Boolean> mNeverDispatched =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                    return size() > MAX_NEVER_DISPATCHED;
                }
            };

    /** Creates a store of intents. */
    public IntentStore(
            TableStore table, ObjectStore objects, GroupCommit commit, RandomGenerator random) {
        mTable = table;
        mObjects = objects;
        mCommit = commit;
        mWriteIds = new WriteIds(random);
    }

    // Operations.

    /**
     * Creates the intent of a call, or finds out what an earlier one with the same key did.
     *
     * @param key idempotency key, unique in the organisation
     * @param attemptId id that no other attempt has
     * @param fence fencing number of the shard
     * @param deadlineNanos reading of the nano clock at which a write ends
     */
    public CompletableFuture<IntentOutcome> begin(
            String organisation,
            String key,
            String requestDigest,
            String attemptId,
            long fence,
            long deadlineNanos) {
        String rowKey = IntentRow.key(organisation, key);
        IntentRow row = IntentRow.started(requestDigest, attemptId, fence, mWriteIds.next());
        return write(rowKey, 0, row, deadlineNanos, BEGIN_ATTEMPTS);
    }

    /**
     * Records the answer of an attempt; the answer may be released when the future completes. May
     * be called again after a failure.
     */
    public CompletableFuture<Void> finish(Intent intent, IntentAnswer answer, long deadlineNanos) {
        byte[] data = answer.data();
        String id = mWriteIds.next();
        CompletableFuture<CommitResult> written;
        if (data.length <= MAX_INLINE_BYTES) {
            String inline = Base64.getEncoder().encodeToString(data);
            IntentRow row = intent.mRow.finished(inline, NOWHERE, id);
            written = mCommit.submit(List.of(replace(intent, row)), deadlineNanos);
        } else {
            written =
                    mCommit.submit(
                            data,
                            at -> List.of(replace(intent, intent.mRow.finished("", at, id))),
                            deadlineNanos);
        }
        return written.thenCompose(
                        result ->
                                isApplied(result)
                                        ? CompletableFuture.<Void>completedFuture(null)
                                        : confirmFinished(intent))
                .whenComplete((done, failure) -> endRun(intent.mRowKey, intent.attemptId()));
    }

    /**
     * Ends an attempt that may have run and whose answer is not known. The key stays blocked, and
     * later calls with it get {@link IntentOutcome.UnknownOutcome}.
     */
    public void endUnknown(Intent intent) {
        endRun(intent.mRowKey, intent.attemptId());
    }

    /**
     * Frees the key of an attempt that provably did not run and never will. The attempt may be one
     * of a former holder, for example when the process beside the target says that it refuses it.
     *
     * @return whether the key was blocked by that attempt and is free now
     */
    public CompletableFuture<Boolean> abandonNotRun(
            String organisation, String key, String attemptId, long deadlineNanos) {
        String rowKey = IntentRow.key(organisation, key);
        return StoreFailures.asNotRun(mTable.get(rowKey))
                .thenCompose(
                        found -> {
                            Optional<IntentRow> row = found.map(IntentStore::decode);
                            if (row.isEmpty()
                                    || row.get().state() != IntentRow.State.STARTED
                                    || !row.get().attemptId().equals(attemptId)) {
                                return CompletableFuture.completedFuture(false);
                            }
                            ConditionalWrite write =
                                    ConditionalWrite.replace(
                                            rowKey,
                                            found.get().version(),
                                            RowJson.encode(row.get().notRun(mWriteIds.next())));
                            return mCommit.submit(List.of(write), deadlineNanos)
                                    .thenApply(IntentStore::isApplied);
                        })
                .whenComplete((freed, failure) -> endRun(rowKey, attemptId));
    }

    // Helpers.

    private CompletableFuture<IntentOutcome> write(
            String rowKey, long version, IntentRow row, long deadlineNanos, int attempts) {
        if (attempts == 0) {
            return CompletableFuture.failedFuture(
                    new StoreException(Execution.NOT_RUN, rowKey + " changes too often", null));
        }
        String attemptId = row.attemptId();
        synchronized (mLock) {
            String running = mRunning.putIfAbsent(rowKey, attemptId);
            if (running != null) {
                return inProgress(rowKey, row, running);
            }
        }
        ConditionalWrite write =
                new ConditionalWrite(rowKey, version, Optional.of(RowJson.encode(row)));
        return mCommit.submit(List.of(write), deadlineNanos)
                .whenComplete((result, failure) -> noteBegun(rowKey, attemptId, result, failure))
                .thenCompose(
                        result -> {
                            if (result.outcomes().getFirst()
                                    instanceof WriteOutcome.Applied applied) {
                                return CompletableFuture.completedFuture(
                                        new IntentOutcome.Started(
                                                new Intent(rowKey, row, applied.version())));
                            }
                            return StoreFailures.asNotRun(mTable.get(rowKey))
                                    .thenCompose(
                                            found ->
                                                    onFound(
                                                            rowKey,
                                                            found,
                                                            row,
                                                            deadlineNanos,
                                                            attempts));
                        });
    }

    // The running attempt's request is known from its row only, once that is written.
    private CompletableFuture<IntentOutcome> inProgress(
            String rowKey, IntentRow row, String running) {
        return StoreFailures.asNotRun(mTable.get(rowKey))
                .thenApply(
                        found -> {
                            Optional<IntentRow> other = found.map(IntentStore::decode);
                            boolean mismatch =
                                    other.isPresent()
                                            && other.get().attemptId().equals(running)
                                            && !other.get()
                                                    .requestDigest()
                                                    .equals(row.requestDigest());
                            return mismatch
                                    ? new IntentOutcome.Mismatch()
                                    : new IntentOutcome.InProgress(running);
                        });
    }

    private void noteBegun(
            String rowKey, String attemptId, CommitResult result, Throwable failure) {
        synchronized (mLock) {
            if (failure != null) {
                mNeverDispatched.put(attemptId, true);
            }
            if (failure != null || !isApplied(result)) {
                mRunning.remove(rowKey, attemptId);
            }
        }
    }

    private CompletableFuture<IntentOutcome> onFound(
            String rowKey,
            Optional<Row> found,
            IntentRow wanted,
            long deadlineNanos,
            int attempts) {
        if (found.isEmpty()) {
            return write(rowKey, 0, wanted, deadlineNanos, attempts - 1);
        }
        IntentRow row = decode(found.get());
        if (isFree(row)) {
            return write(rowKey, found.get().version(), wanted, deadlineNanos, attempts - 1);
        }
        if (!row.requestDigest().equals(wanted.requestDigest())) {
            return CompletableFuture.completedFuture(new IntentOutcome.Mismatch());
        }
        if (row.state() == IntentRow.State.FINISHED) {
            return answer(row).thenApply(IntentOutcome.Finished::new);
        }
        boolean running;
        synchronized (mLock) {
            running = row.attemptId().equals(mRunning.get(rowKey));
        }
        return CompletableFuture.completedFuture(
                running
                        ? new IntentOutcome.InProgress(row.attemptId())
                        : new IntentOutcome.UnknownOutcome(row.attemptId()));
    }

    private boolean isFree(IntentRow row) {
        synchronized (mLock) {
            return row.state() == IntentRow.State.NOT_RUN
                    || (row.state() == IntentRow.State.STARTED
                            && mNeverDispatched.containsKey(row.attemptId()));
        }
    }

    private CompletableFuture<IntentAnswer> answer(IntentRow row) {
        if (row.batch().isEmpty()) {
            return CompletableFuture.completedFuture(
                    new IntentAnswer(Base64.getDecoder().decode(row.answer())));
        }
        return StoreFailures.asNotRun(mObjects.get(row.batch()))
                .thenApply(
                        object ->
                                new IntentAnswer(
                                        Arrays.copyOfRange(
                                                object.orElseThrow(),
                                                row.offset(),
                                                row.offset() + row.length())));
    }

    /** Settles a conflict, which an earlier call for the same attempt may have caused. */
    private CompletableFuture<Void> confirmFinished(Intent intent) {
        return mTable.get(intent.mRowKey)
                .thenCompose(
                        found -> {
                            Optional<IntentRow> row = found.map(IntentStore::decode);
                            boolean finished =
                                    row.isPresent()
                                            && row.get().state() == IntentRow.State.FINISHED
                                            && row.get().attemptId().equals(intent.attemptId());
                            return finished
                                    ? CompletableFuture.completedFuture(null)
                                    : CompletableFuture.failedFuture(
                                            new StoreException(
                                                    Execution.UNKNOWN,
                                                    intent.mRowKey + " was changed by another",
                                                    null));
                        });
    }

    private void endRun(String rowKey, String attemptId) {
        synchronized (mLock) {
            mRunning.remove(rowKey, attemptId);
        }
    }

    private static ConditionalWrite replace(Intent intent, IntentRow row) {
        return ConditionalWrite.replace(intent.mRowKey, intent.mVersion, RowJson.encode(row));
    }

    private static boolean isApplied(CommitResult result) {
        return result.outcomes().getFirst() instanceof WriteOutcome.Applied;
    }

    private static IntentRow decode(Row row) {
        return RowJson.decode(row, IntentRow.class);
    }
}
