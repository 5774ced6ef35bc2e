package org.oleandertrack.core.organisation.limit;

import java.util.ArrayDeque;
import java.util.List;

/**
 * The programs that an issuer admitted last, numbered in their order, so that a host that asks for
 * permits can be told of those that it does not know yet. Not thread-safe.
 */
final class AdmittedPrograms {

    // About 20 bytes each as JSON; a host that asks every 100 ms misses about 5 of the largest
    // organisation.
    private static final int CAPACITY = 128;

    private final ArrayDeque<Long> mKeys = new ArrayDeque<>();
    private long mCount;

    void add(long key) {
        if (mKeys.size() == CAPACITY) {
            mKeys.removeFirst();
        }
        mKeys.addLast(key);
        mCount++;
    }

    /** Returns the programs after the given number, without the older ones of too many. */
    IssueResult.Programs since(long known) {
        // A larger number is that of an issuer that has lost its state.
        long unknown = known > mCount ? mCount : mCount - known;
        long skipped = Math.max(0, mKeys.size() - unknown);
        List<Long> keys = mKeys.stream().skip(skipped).toList();
        return new IssueResult.Programs(keys, mCount);
    }
}
