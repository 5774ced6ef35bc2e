package org.oleandertrack.coordination.commit;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.coordination.store.ConditionalWrite;
import org.oleandertrack.coordination.store.Row;
import org.oleandertrack.coordination.store.WriteOutcome;

/** The writes of one caller and their progress. Guarded by the lock of the group commit. */
final class Submission {

    // Heap used by a submission besides its data. It is included in the size of the submission, so
    // that the limit of pending bytes also limits the number of small submissions.
    private static final long OVERHEAD_BYTES = 512;

    final CompletableFuture<CommitResult> mFuture = new CompletableFuture<>();
    final Optional<byte[]> mRecord;
    final long mBytes;
    Scheduler.Timer mDeadlineTimer = () -> {};
    boolean mDone;

    private final Function<Optional<RecordLocation>, List<ConditionalWrite>> mWritesFactory;
    private Optional<RecordLocation> mLocation = Optional.empty();
    private List<ConditionalWrite> mWrites = List.of();
    private WriteOutcome[] mOutcomes = {};
    private boolean mSending;
    private boolean mAmbiguous;

    Submission(
            Optional<byte[]> record,
            long writesBytes,
            Function<Optional<RecordLocation>, List<ConditionalWrite>> writesFactory) {
        mRecord = record;
        mBytes = OVERHEAD_BYTES + writesBytes + record.map(data -> data.length).orElse(0);
        mWritesFactory = writesFactory;
    }

    /**
     * Creates the writes for the location of the record. Retries send the same values on the same
     * conditions, so that at most one copy can apply.
     */
    void createWrites(Optional<RecordLocation> location) {
        mLocation = location;
        mWrites = List.copyOf(mWritesFactory.apply(location));
        mOutcomes = new WriteOutcome[mWrites.size()];
    }

    List<ConditionalWrite> writes() {
        return mWrites;
    }

    boolean isUnresolved(int index) {
        return mOutcomes[index] == null;
    }

    boolean isResolved() {
        return Arrays.stream(mOutcomes).allMatch(outcome -> outcome != null);
    }

    CommitResult result() {
        return new CommitResult(List.of(mOutcomes), mLocation);
    }

    /** Notes that a transaction with the writes is being sent. */
    void markSending() {
        mSending = true;
    }

    /** Notes that the transaction was answered or certainly did not take effect. */
    void markSettled() {
        mSending = false;
    }

    /** Notes that the transaction may have taken effect or may still do so. */
    void markAmbiguous() {
        mSending = false;
        mAmbiguous = true;
    }

    boolean mayHaveApplied() {
        return mSending || mAmbiguous;
    }

    /**
     * Records the store's reply to one write. After an earlier attempt of unknown outcome, a
     * conflict is not recorded: that attempt may have caused it, so the row has to be read.
     */
    void handleReply(int index, WriteOutcome outcome) {
        if (outcome instanceof WriteOutcome.Conflict && mAmbiguous) {
            return;
        }
        mOutcomes[index] = outcome;
    }

    /**
     * Determines the outcome of one write after an attempt of unknown outcome, as far as the
     * current row shows it.
     *
     * @return false if a later write has replaced the row, so that the outcome cannot be known
     */
    boolean settleFromRow(int index, Optional<Row> row) {
        ConditionalWrite write = mWrites.get(index);
        long version = row.map(Row::version).orElse(0L);
        if (row.isPresent() && row.get().value().equals(write.value().get())) {
            mOutcomes[index] = new WriteOutcome.Applied(version);
            return true;
        }
        if (version == write.expectedVersion()) {
            return true;
        }
        if (version > write.expectedVersion() + 1) {
            return false;
        }
        mOutcomes[index] = new WriteOutcome.Conflict(version);
        return true;
    }
}
