package org.oleandertrack.coordination.commit;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.coordination.store.ConditionalWrite;
import org.oleandertrack.coordination.store.ObjectStore;
import org.oleandertrack.coordination.store.Row;
import org.oleandertrack.coordination.store.StoreException;
import org.oleandertrack.coordination.store.StoreFailures;
import org.oleandertrack.coordination.store.TableStore;
import org.oleandertrack.coordination.store.WriteOutcome;
import org.oleandertrack.core.result.Execution;
import org.tinylog.Logger;

/**
 * Combines the writes of many callers into one put of a batch object and one table transaction. A
 * submission is sent at once while the rate limit of transactions allows it; otherwise submissions
 * wait and are sent together.
 *
 * <p>Every value must contain an id that no other write uses: after a lost reply, the row is read
 * and its value is compared with the one that was sent. Rows are replaced, never deleted.
 *
 * <p>Futures fail with {@link StoreException}: {@code NOT_RUN} if no transaction with the
 * submission has taken or can take effect, {@code UNKNOWN} if one may have done so or may still do
 * so.
 *
 * <p>Thread safe. Futures complete on threads of the store or of the scheduler.
 */
public final class GroupCommit {

    /**
     * The store counts as failing once requests have failed for this long without a success. The
     * time is longer than three lost replies take with the default delays between them, which are
     * at most 50, 100 and 200 ms.
     */
    private static final long OUTAGE_NANOS = 500_000_000L;

    private final TableStore mTable;
    private final ObjectStore mObjects;
    private final Scheduler mScheduler;
    private final LongSupplier mNanoClock;
    private final RandomGenerator mRandom;
    private final GroupCommitLimits mLimits;
    private final String mBatchPrefix;

    private final Object mLock = new Object();
    private final LinkedHashSet<Submission> mQueue = new LinkedHashSet<>();
    private final CommitRateLimiter mRateLimiter;
    private final CompletableFuture<Void> mStopped = new CompletableFuture<>();
    private int mPendingCount;
    private long mPendingBytes;
    private int mBatchesInFlight;
    private long mBatchSequence;
    private boolean mSendScheduled;
    private boolean mStarted;
    private boolean mStopping;
    private boolean mStoreFailing;
    private long mStoreFailingSinceNanos;

    /**
     * Creates a group commit.
     *
     * @param table receives the transactions; must end every request in limited time, see {@code
     *     TimeLimitedTableStore}
     * @param objects receives the batch objects; must end every request in limited time, see {@code
     *     TimeLimitedObjectStore}
     * @param batchPrefix prefix of the keys of this process's batch objects; no other process, and
     *     no earlier one on the same host, may use it
     */
    public GroupCommit(
            TableStore table,
            ObjectStore objects,
            Scheduler scheduler,
            LongSupplier nanoClock,
            RandomGenerator random,
            GroupCommitLimits limits,
            String batchPrefix) {
        mTable = table;
        mObjects = objects;
        mScheduler = scheduler;
        mNanoClock = nanoClock;
        mRandom = random;
        mLimits = limits;
        mBatchPrefix = batchPrefix;
        mRateLimiter =
                new CommitRateLimiter(
                        limits.commitsPerSecond(), limits.burstCommits(), nanoClock.getAsLong());
    }

    // Life-cycle.

    /** Starts to accept submissions. */
    public void start() {
        synchronized (mLock) {
            mStarted = true;
        }
    }

    /** Refuses new submissions; the future completes when all accepted ones have ended. */
    public CompletableFuture<Void> stop() {
        boolean drained;
        synchronized (mLock) {
            mStopping = true;
            drained = mPendingCount == 0;
        }
        if (drained) {
            mStopped.complete(null);
        }
        return mStopped;
    }

    // Accessors.

    /**
     * Returns whether requests to the store have failed for half a second without a success. A
     * single lost reply does not count, because its outcome is settled by reading the row.
     */
    public boolean isStoreFailing() {
        synchronized (mLock) {
            return mStoreFailing
                    && mNanoClock.getAsLong() - mStoreFailingSinceNanos >= OUTAGE_NANOS;
        }
    }

    /** Returns the number of submissions that wait or are in flight. */
    public int pendingCount() {
        synchronized (mLock) {
            return mPendingCount;
        }
    }

    // Operations.

    /**
     * Submits writes.
     *
     * @param writes replacements of different rows; no deletions
     * @param deadlineNanos nano clock reading at which the submission fails if it is not committed
     * @throws IllegalArgumentException if a write is a deletion
     */
    public CompletableFuture<CommitResult> submit(
            List<ConditionalWrite> writes, long deadlineNanos) {
        long bytes = 0;
        for (ConditionalWrite write : writes) {
            if (write.value().isEmpty()) {
                throw new IllegalArgumentException(
                        "deletion of "
                                + write.key()
                                + " is refused: it has no write id to read back");
            }
            bytes += write.key().length() + write.value().get().length();
        }
        return submit(new Submission(Optional.empty(), bytes, none -> writes), deadlineNanos);
    }

    /**
     * Submits a record and the writes that refer to its location.
     *
     * @param record bytes for the batch object, which the caller does not change afterwards
     * @param writes returns the writes for a location, without deletions; must have no side
     *     effects, because it is called under a lock, and again if the record moves to a later
     *     batch
     * @param deadlineNanos nano clock reading at which the submission fails if it is not committed
     */
    public CompletableFuture<CommitResult> submit(
            byte[] record,
            Function<RecordLocation, List<ConditionalWrite>> writes,
            long deadlineNanos) {
        return submit(
                new Submission(
                        Optional.of(record), 0, location -> writes.apply(location.orElseThrow())),
                deadlineNanos);
    }

    // Helpers.

    private CompletableFuture<CommitResult> submit(Submission submission, long deadlineNanos) {
        synchronized (mLock) {
            String refusal = refusalReason(submission);
            if (!refusal.isEmpty()) {
                return CompletableFuture.failedFuture(
                        new StoreException(Execution.NOT_RUN, refusal, null));
            }
            mPendingCount++;
            mPendingBytes += submission.mBytes;
            mQueue.add(submission);
            submission.mDeadlineTimer =
                    mScheduler.schedule(
                            deadlineNanos - mNanoClock.getAsLong(), () -> onDeadline(submission));
        }
        sendBatches();
        return submission.mFuture;
    }

    private String refusalReason(Submission submission) {
        if (!mStarted || mStopping) {
            return "group commit is not running";
        }
        if (mPendingCount >= mLimits.maxPendingCount()) {
            return "group commit has " + mPendingCount + " submissions pending";
        }
        if (mPendingBytes + submission.mBytes > mLimits.maxPendingBytes()) {
            return "group commit has " + mPendingBytes + " bytes pending";
        }
        return "";
    }

    private void sendBatches() {
        while (true) {
            Batch batch;
            synchronized (mLock) {
                if (mQueue.isEmpty() || mBatchesInFlight >= mLimits.maxBatchesInFlight()) {
                    return;
                }
                long waitNanos = mRateLimiter.waitNanos(mNanoClock.getAsLong());
                if (waitNanos > 0) {
                    scheduleSend(waitNanos);
                    return;
                }
                batch = takeBatch();
                mBatchesInFlight++;
            }
            if (batch.object().isPresent()) {
                putObject(batch);
            } else {
                writeTable(batch);
            }
        }
    }

    private void scheduleSend(long waitNanos) {
        if (mSendScheduled) {
            return;
        }
        mSendScheduled = true;
        var _ =
                mScheduler.schedule(
                        waitNanos,
                        () -> {
                            synchronized (mLock) {
                                mSendScheduled = false;
                            }
                            sendBatches();
                        });
    }

    private Batch takeBatch() {
        Batch batch = new Batch(mBatchPrefix + mBatchSequence++);
        Iterator<Submission> queued = mQueue.iterator();
        while (queued.hasNext() && batch.mSubmissions.size() < mLimits.maxBatchCount()) {
            if (batch.add(queued.next(), mLimits)) {
                queued.remove();
            }
        }
        return batch;
    }

    private void putObject(Batch batch) {
        synchronized (mLock) {
            batch.mSubmissions.removeIf(submission -> submission.mDone);
        }
        if (finishIfDone(batch)) {
            return;
        }
        // A batch object has one writer and its content never changes, so a repeated put is safe.
        long sentNanos = mNanoClock.getAsLong();
        var _ =
                mObjects.put(batch.mObjectKey, batch.object().get())
                        .whenComplete(
                                (done, failure) -> {
                                    recordReply(batch, sentNanos, failure);
                                    if (failure != null) {
                                        scheduleRetry(batch, () -> putObject(batch));
                                    } else {
                                        writeTable(batch);
                                    }
                                });
    }

    private void writeTable(Batch batch) {
        List<Batch.Item> items;
        synchronized (mLock) {
            batch.mSubmissions.removeIf(submission -> submission.mDone);
            items = batch.unresolvedItems();
            items.forEach(item -> item.submission().markSending());
            if (!items.isEmpty()) {
                mRateLimiter.take(mNanoClock.getAsLong());
            }
        }
        if (finishIfDone(batch)) {
            return;
        }
        List<ConditionalWrite> writes = items.stream().map(Batch.Item::write).toList();
        long sentNanos = mNanoClock.getAsLong();
        var _ =
                mTable.write(writes)
                        .whenComplete(
                                (outcomes, failure) -> {
                                    recordReply(batch, sentNanos, failure);
                                    if (failure == null) {
                                        onOutcomes(batch, items, outcomes);
                                    } else {
                                        onWriteFailed(batch, items, failure);
                                    }
                                });
    }

    private void onOutcomes(Batch batch, List<Batch.Item> items, List<WriteOutcome> outcomes) {
        synchronized (mLock) {
            items.forEach(item -> item.submission().markSettled());
            Batch.handleReply(items, outcomes);
        }
        finishResolved(batch);
        if (!finishIfDone(batch)) {
            readBack(batch);
        }
    }

    private void onWriteFailed(Batch batch, List<Batch.Item> items, Throwable failure) {
        boolean ambiguous = StoreFailures.executionOf(failure) != Execution.NOT_RUN;
        synchronized (mLock) {
            for (Batch.Item item : items) {
                if (ambiguous) {
                    item.submission().markAmbiguous();
                } else {
                    item.submission().markSettled();
                }
            }
        }
        scheduleRetry(batch, ambiguous ? () -> readBack(batch) : () -> writeTable(batch));
    }

    /** Reads the rows whose writes have no known outcome, then sends the unapplied writes again. */
    private void readBack(Batch batch) {
        List<Batch.Item> items;
        synchronized (mLock) {
            batch.mSubmissions.removeIf(submission -> submission.mDone);
            items = batch.unresolvedItems();
        }
        if (finishIfDone(batch)) {
            return;
        }
        long sentNanos = mNanoClock.getAsLong();
        List<CompletableFuture<Optional<Row>>> reads =
                items.stream().map(item -> mTable.get(item.write().key())).toList();
        var _ =
                CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
                        .whenComplete(
                                (done, failure) -> {
                                    recordReply(batch, sentNanos, failure);
                                    if (failure != null) {
                                        scheduleRetry(batch, () -> readBack(batch));
                                    } else {
                                        onReadBack(batch, items, reads);
                                    }
                                });
    }

    private void onReadBack(
            Batch batch, List<Batch.Item> items, List<CompletableFuture<Optional<Row>>> reads) {
        List<Submission> unknown = new ArrayList<>();
        synchronized (mLock) {
            for (int i = 0; i < items.size(); i++) {
                Submission submission = items.get(i).submission();
                if (!submission.settleFromRow(items.get(i).index(), reads.get(i).join())) {
                    unknown.add(submission);
                }
            }
        }
        unknown.forEach(
                submission ->
                        fail(
                                submission,
                                new StoreException(
                                        Execution.UNKNOWN,
                                        "a row was replaced before the lost reply was settled",
                                        null)));
        finishResolved(batch);
        if (!finishIfDone(batch)) {
            scheduleRetry(batch, () -> writeTable(batch));
        }
    }

    private void recordReply(Batch batch, long sentNanos, Throwable failure) {
        boolean changed;
        synchronized (mLock) {
            boolean failing = failure != null;
            changed = failing != mStoreFailing;
            if (changed && failing) {
                mStoreFailingSinceNanos = sentNanos;
            }
            mStoreFailing = failing;
            batch.mConsecutiveFailures = failing ? batch.mConsecutiveFailures + 1 : 0;
        }
        if (changed && failure != null) {
            Logger.warn("store request failed, commits are retried: {}", failure.toString());
        } else if (changed) {
            Logger.info("store answers again");
        }
    }

    private void scheduleRetry(Batch batch, Runnable step) {
        long maxDelayNanos;
        synchronized (mLock) {
            int doublings = Math.min(Math.max(0, batch.mConsecutiveFailures - 1), 20);
            maxDelayNanos =
                    Math.min(mLimits.maxBackoffNanos(), mLimits.minBackoffNanos() << doublings);
        }
        var _ = mScheduler.schedule(mRandom.nextLong(maxDelayNanos) + 1, step);
    }

    private void finishResolved(Batch batch) {
        List<Submission> resolved = new ArrayList<>();
        synchronized (mLock) {
            for (Submission submission : batch.mSubmissions) {
                if (!submission.mDone && submission.isResolved()) {
                    end(submission);
                    resolved.add(submission);
                }
            }
            batch.mSubmissions.removeIf(submission -> submission.mDone);
        }
        resolved.forEach(submission -> submission.mFuture.complete(submission.result()));
        completeStop();
    }

    private boolean finishIfDone(Batch batch) {
        synchronized (mLock) {
            if (batch.mSubmissions.stream().anyMatch(submission -> !submission.mDone)) {
                return false;
            }
            mBatchesInFlight--;
        }
        sendBatches();
        return true;
    }

    private void onDeadline(Submission submission) {
        Execution execution;
        synchronized (mLock) {
            execution = submission.mayHaveApplied() ? Execution.UNKNOWN : Execution.NOT_RUN;
        }
        fail(submission, new StoreException(execution, "not committed before the deadline", null));
    }

    private void fail(Submission submission, StoreException failure) {
        synchronized (mLock) {
            if (submission.mDone) {
                return;
            }
            end(submission);
        }
        submission.mFuture.completeExceptionally(failure);
        completeStop();
    }

    private void end(Submission submission) {
        submission.mDone = true;
        submission.mDeadlineTimer.cancel();
        mQueue.remove(submission);
        mPendingCount--;
        mPendingBytes -= submission.mBytes;
    }

    private void completeStop() {
        synchronized (mLock) {
            if (!mStopping || mPendingCount > 0) {
                return;
            }
        }
        mStopped.complete(null);
    }
}
