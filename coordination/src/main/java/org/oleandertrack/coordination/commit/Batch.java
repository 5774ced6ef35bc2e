package org.oleandertrack.coordination.commit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.oleandertrack.coordination.store.ConditionalWrite;
import org.oleandertrack.coordination.store.WriteOutcome;

/**
 * The submissions of one table transaction, and the batch object that contains their records.
 * Guarded by the lock of the group commit.
 */
final class Batch {

    /**
     * One write of a submission.
     *
     * @param index position of the write in the submission
     */
    record Item(Submission submission, int index) {
        ConditionalWrite write() {
            return submission.writes().get(index);
        }
    }

    final String mObjectKey;
    final List<Submission> mSubmissions = new ArrayList<>();
    // Number of requests for this batch that failed since the last success.
    int mConsecutiveFailures;

    private final Set<String> mKeys = new HashSet<>();
    private byte[] mObjectData = {};
    private int mObjectBytes;
    private long mSubmissionBytes;

    Batch(String objectKey) {
        mObjectKey = objectKey;
    }

    /**
     * Adds a submission unless the batch would become too large or has a write of the same row. The
     * first submission may have any size.
     */
    boolean add(Submission submission, GroupCommitLimits limits) {
        boolean tooLarge = mSubmissionBytes + submission.mBytes > limits.maxBatchBytes();
        if (!mSubmissions.isEmpty() && tooLarge) {
            return false;
        }
        submission.createWrites(
                submission.mRecord.map(
                        data -> new RecordLocation(mObjectKey, mObjectBytes, data.length)));
        // The result of two writes of one row in one transaction is not defined.
        if (submission.writes().stream().anyMatch(write -> mKeys.contains(write.key()))) {
            return false;
        }
        submission.writes().forEach(write -> mKeys.add(write.key()));
        submission.mRecord.ifPresent(this::append);
        mSubmissionBytes += submission.mBytes;
        mSubmissions.add(submission);
        return true;
    }

    Optional<byte[]> object() {
        return mObjectBytes == 0
                ? Optional.empty()
                : Optional.of(Arrays.copyOf(mObjectData, mObjectBytes));
    }

    /** Returns the writes that still need an outcome. */
    List<Item> unresolvedItems() {
        List<Item> items = new ArrayList<>();
        for (Submission submission : mSubmissions) {
            for (int i = 0; i < submission.writes().size(); i++) {
                if (!submission.mDone && submission.isUnresolved(i)) {
                    items.add(new Item(submission, i));
                }
            }
        }
        return items;
    }

    static void handleReply(List<Item> items, List<WriteOutcome> outcomes) {
        for (int i = 0; i < items.size(); i++) {
            items.get(i).submission().handleReply(items.get(i).index(), outcomes.get(i));
        }
    }

    private void append(byte[] data) {
        if (mObjectBytes + data.length > mObjectData.length) {
            mObjectData =
                    Arrays.copyOf(mObjectData, Math.max(4096, 2 * (mObjectBytes + data.length)));
        }
        System.arraycopy(data, 0, mObjectData, mObjectBytes, data.length);
        mObjectBytes += data.length;
    }
}
