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
 * Stores the intents of calls that may run at most once, and their answers. A call is dispatched
 * only after the store has confirmed its intent, and only by the process that received {@link
 * IntentOutcome.Started}.
 *
 * <p>When a key becomes free, its row stays, in the state "not run". If the row were deleted, a new
 * row would start at version 1 again, and a delayed write for the old row could apply to the new
 * one.
 *
 * <p>Futures fail with {@link StoreException}; after a failed {@link #begin} the call must not be
 * dispatched. Thread safe.
 */
public final class IntentStore {

    private static final int MAX_BEGIN_TRIES = 4;
    private static final int MAX_UNDISPATCHED_IDS = 4_096;
    // Larger answers are stored in the batch object of the group commit, so that rows stay small.
    private static final int MAX_INLINE_BYTES = 2_048;
    private static final RecordLocation NO_LOCATION = new RecordLocation("", 0, 0);

    private final TableStore mTable;
    private final ObjectStore mObjects;
    private final GroupCommit mCommit;
    private final WriteIds mWriteIds;

    private final Object mLock = new Object();
    // Ids of the attempts that this process is running, by row key.
    private final Map<String, String> mRunningAttemptIds = new HashMap<>();

    /**
     * Ids of attempts that were not dispatched, because their intent was not confirmed in time, as
     * keys of a map that is used as a set. When it is full, the oldest id is dropped; the outcome
     * of its attempt then counts as unknown, which is safe.
     */
    private final Map<String, Boolean> mUndispatchedAttemptIds =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                    return size() > MAX_UNDISPATCHED_IDS;
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
     * Records the intent of a call, or returns what is known about an earlier call with the same
     * key.
     *
     * @param key idempotency key, unique in the organisation
     * @param requestDigest digest of the request, which must be the same for every call with the
     *     key
     * @param attemptId id that no other attempt has
     * @param fence fencing number of the shard
     * @param deadlineNanos nano clock reading at which an unconfirmed write fails
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
        return writeIntent(rowKey, 0, row, deadlineNanos, MAX_BEGIN_TRIES);
    }

    /**
     * Records the answer of an attempt. The answer may be sent to the caller once the future has
     * completed. May be called again after a failure.
     */
    public CompletableFuture<Void> finish(Intent intent, IntentAnswer answer, long deadlineNanos) {
        byte[] data = answer.data();
        String writeId = mWriteIds.next();
        CompletableFuture<CommitResult> written;
        if (data.length <= MAX_INLINE_BYTES) {
            String inline = Base64.getEncoder().encodeToString(data);
            IntentRow row = intent.mRow.finished(inline, NO_LOCATION, writeId);
            written = mCommit.submit(List.of(replace(intent, row)), deadlineNanos);
        } else {
            written =
                    mCommit.submit(
                            data,
                            location ->
                                    List.of(
                                            replace(
                                                    intent,
                                                    intent.mRow.finished("", location, writeId))),
                            deadlineNanos);
        }
        return written.thenCompose(
                        result ->
                                isApplied(result)
                                        ? CompletableFuture.<Void>completedFuture(null)
                                        : confirmFinished(intent))
                .whenComplete((done, failure) -> removeRunning(intent.mRowKey, intent.attemptId()));
    }

    /**
     * Ends an attempt that may have run and whose answer is not known. The key stays blocked, and
     * later calls with it get {@link IntentOutcome.UnknownOutcome}.
     */
    public void endUnknown(Intent intent) {
        removeRunning(intent.mRowKey, intent.attemptId());
    }

    /**
     * Frees the key of an attempt that provably did not run and never will, for example because the
     * sidecar of the target has reported that it refuses the attempt from now on. The attempt may
     * have been begun by a former holder of the shard.
     *
     * @return whether the key was blocked by the attempt and is free now
     */
    public CompletableFuture<Boolean> abandonNotRun(
            String organisation, String key, String attemptId, long deadlineNanos) {
        String rowKey = IntentRow.key(organisation, key);
        return StoreFailures.failAsNotRun(mTable.get(rowKey))
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
                .whenComplete((freed, failure) -> removeRunning(rowKey, attemptId));
    }

    // Helpers.

    private CompletableFuture<IntentOutcome> writeIntent(
            String rowKey, long version, IntentRow row, long deadlineNanos, int triesLeft) {
        if (triesLeft == 0) {
            return CompletableFuture.failedFuture(
                    new StoreException(
                            Execution.NOT_RUN,
                            rowKey + " was not written: every try had a conflict",
                            null));
        }
        String attemptId = row.attemptId();
        synchronized (mLock) {
            String runningAttemptId = mRunningAttemptIds.putIfAbsent(rowKey, attemptId);
            if (runningAttemptId != null) {
                return inProgressOrMismatch(rowKey, row, runningAttemptId);
            }
        }
        ConditionalWrite write =
                new ConditionalWrite(rowKey, version, Optional.of(RowJson.encode(row)));
        return mCommit.submit(List.of(write), deadlineNanos)
                .whenComplete(
                        (result, failure) -> onIntentWritten(rowKey, attemptId, result, failure))
                .thenCompose(
                        result -> {
                            if (result.outcomes().getFirst()
                                    instanceof WriteOutcome.Applied applied) {
                                return CompletableFuture.completedFuture(
                                        new IntentOutcome.Started(
                                                new Intent(rowKey, row, applied.version())));
                            }
                            return StoreFailures.failAsNotRun(mTable.get(rowKey))
                                    .thenCompose(
                                            found ->
                                                    onRowFound(
                                                            rowKey,
                                                            found,
                                                            row,
                                                            deadlineNanos,
                                                            triesLeft));
                        });
    }

    // The request digest of the running attempt is only in its row, which may not be written yet.
    // Until it is, every request with the same key is taken for a repetition of that attempt.
    private CompletableFuture<IntentOutcome> inProgressOrMismatch(
            String rowKey, IntentRow row, String runningAttemptId) {
        return StoreFailures.failAsNotRun(mTable.get(rowKey))
                .thenApply(
                        found -> {
                            Optional<IntentRow> other = found.map(IntentStore::decode);
                            boolean mismatch =
                                    other.isPresent()
                                            && other.get().attemptId().equals(runningAttemptId)
                                            && !other.get()
                                                    .requestDigest()
                                                    .equals(row.requestDigest());
                            return mismatch
                                    ? new IntentOutcome.Mismatch()
                                    : new IntentOutcome.InProgress(runningAttemptId);
                        });
    }

    private void onIntentWritten(
            String rowKey, String attemptId, CommitResult result, Throwable failure) {
        synchronized (mLock) {
            if (failure != null) {
                mUndispatchedAttemptIds.put(attemptId, true);
            }
            if (failure != null || !isApplied(result)) {
                mRunningAttemptIds.remove(rowKey, attemptId);
            }
        }
    }

    private CompletableFuture<IntentOutcome> onRowFound(
            String rowKey,
            Optional<Row> found,
            IntentRow wanted,
            long deadlineNanos,
            int triesLeft) {
        if (found.isEmpty()) {
            return writeIntent(rowKey, 0, wanted, deadlineNanos, triesLeft - 1);
        }
        IntentRow row = decode(found.get());
        if (isKeyFree(row)) {
            return writeIntent(rowKey, found.get().version(), wanted, deadlineNanos, triesLeft - 1);
        }
        if (!row.requestDigest().equals(wanted.requestDigest())) {
            return CompletableFuture.completedFuture(new IntentOutcome.Mismatch());
        }
        if (row.state() == IntentRow.State.FINISHED) {
            return readAnswer(row).thenApply(IntentOutcome.Finished::new);
        }
        boolean isRunning;
        synchronized (mLock) {
            isRunning = row.attemptId().equals(mRunningAttemptIds.get(rowKey));
        }
        return CompletableFuture.completedFuture(
                isRunning
                        ? new IntentOutcome.InProgress(row.attemptId())
                        : new IntentOutcome.UnknownOutcome(row.attemptId()));
    }

    private boolean isKeyFree(IntentRow row) {
        synchronized (mLock) {
            return row.state() == IntentRow.State.NOT_RUN
                    || (row.state() == IntentRow.State.STARTED
                            && mUndispatchedAttemptIds.containsKey(row.attemptId()));
        }
    }

    private CompletableFuture<IntentAnswer> readAnswer(IntentRow row) {
        if (row.batch().isEmpty()) {
            return CompletableFuture.completedFuture(
                    new IntentAnswer(Base64.getDecoder().decode(row.answer())));
        }
        return StoreFailures.failAsNotRun(mObjects.get(row.batch()))
                .thenApply(
                        object ->
                                new IntentAnswer(
                                        Arrays.copyOfRange(
                                                object.orElseThrow(),
                                                row.offset(),
                                                row.offset() + row.length())));
    }

    /**
     * Checks after a conflict whether the answer of the attempt is recorded: an earlier call of
     * {@link #finish} for the attempt may have written it and so caused the conflict.
     */
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
                                                    intent.mRowKey
                                                            + " was changed by another writer",
                                                    null));
                        });
    }

    private void removeRunning(String rowKey, String attemptId) {
        synchronized (mLock) {
            mRunningAttemptIds.remove(rowKey, attemptId);
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
