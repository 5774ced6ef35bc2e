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

/** One caller's writes on their way through the group commit. Guarded by its lock. */
final class Submission {

    // Estimated heap of a submission's bookkeeping, so that many small ones are bounded too.
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

    /** Makes the writes. A retry sends the same values, so that at most one copy can apply. */
    void place(Optional<RecordLocation> location) {
        mLocation = location;
        mWrites = List.copyOf(mWritesFactory.apply(location));
        mOutcomes = new WriteOutcome[mWrites.size()];
    }

    List<ConditionalWrite> writes() {
        return mWrites;
    }

    boolean unresolved(int index) {
        return mOutcomes[index] == null;
    }

    boolean resolved() {
        return Arrays.stream(mOutcomes).allMatch(outcome -> outcome != null);
    }

    CommitResult result() {
        return new CommitResult(List.of(mOutcomes), mLocation);
    }

    void sending() {
        mSending = true;
    }

    /** The transaction was answered, or certainly did not take effect. */
    void settled() {
        mSending = false;
    }

    /** The transaction may have taken effect, or may still do so. */
    void ambiguous() {
        mSending = false;
        mAmbiguous = true;
    }

    boolean mayHaveApplied() {
        return mSending || mAmbiguous;
    }

    /**
     * Takes the store's reply for one write. After an attempt with an unknown outcome a conflict
     * may be caused by that attempt's own effect and has to be read back.
     */
    void reply(int index, WriteOutcome outcome) {
        if (outcome instanceof WriteOutcome.Conflict && mAmbiguous) {
            return;
        }
        mOutcomes[index] = outcome;
    }

    /**
     * Settles one write of an ambiguous attempt from the row as it is now.
     *
     * @return false if a later write has replaced the row, so that the outcome cannot be known
     */
    boolean readBack(int index, Optional<Row> row) {
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
