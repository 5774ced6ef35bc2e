package org.oleandertrack.coordination.config;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleandertrack.coordination.commit.GroupCommit;
import org.oleandertrack.coordination.store.ConditionalWrite;
import org.oleandertrack.coordination.store.ObjectStore;
import org.oleandertrack.coordination.store.Row;
import org.oleandertrack.coordination.store.RowJson;
import org.oleandertrack.coordination.store.TableStore;
import org.oleandertrack.coordination.store.WriteIds;

/**
 * Stores snapshots of the configuration. Each snapshot is an object, and one row refers to the
 * latest. Any process can write a snapshot, but does not do so if the row already refers to it or
 * to a newer one. Thread safe.
 */
public final class SnapshotStore {

    private static final long WRITE_TIMEOUT_NANOS = 5_000_000_000L;
    // A process waits for a random number of polls, less than this bound, before it writes a
    // snapshot, so that usually only one process writes it.
    private static final int POLLS_TO_WAIT_BOUND = 20;

    private final TableStore mTable;
    private final ObjectStore mObjects;
    private final GroupCommit mCommit;
    private final LongSupplier mNanoClock;
    private final RandomGenerator mRandom;
    private final WriteIds mWriteIds;

    private final Object mLock = new Object();
    private Optional<ConfigSnapshot> mPending = Optional.empty();
    private int mPollsToWait;

    /** Creates a store of snapshots. */
    public SnapshotStore(
            TableStore table,
            ObjectStore objects,
            GroupCommit commit,
            LongSupplier nanoClock,
            RandomGenerator random) {
        mTable = table;
        mObjects = objects;
        mCommit = commit;
        mNanoClock = nanoClock;
        mRandom = random;
        mWriteIds = new WriteIds(random);
    }

    /** Reads the latest snapshot; empty if there is none. */
    CompletableFuture<Optional<ConfigSnapshot>> load() {
        return mTable.get(SnapshotRow.KEY)
                .thenCompose(
                        row -> {
                            if (row.isEmpty()) {
                                return CompletableFuture.completedFuture(Optional.empty());
                            }
                            long version = decode(row.get()).version();
                            return mObjects.get(SnapshotRow.objectKey(version))
                                    .thenApply(
                                            data ->
                                                    data.map(
                                                            bytes ->
                                                                    new ConfigSnapshot(
                                                                            version, bytes)));
                        });
    }

    /** Sets the snapshot to be written by a later poll, unless another process writes it first. */
    void offer(ConfigSnapshot snapshot) {
        synchronized (mLock) {
            mPending = Optional.of(snapshot);
            mPollsToWait = mRandom.nextInt(POLLS_TO_WAIT_BOUND);
        }
    }

    /**
     * Writes the snapshot that was offered last, once enough polls have passed. Called by each
     * poll; after a failure the next one tries again.
     */
    CompletableFuture<Void> writePending() {
        ConfigSnapshot snapshot;
        synchronized (mLock) {
            if (mPending.isEmpty() || mPollsToWait-- > 0) {
                return CompletableFuture.completedFuture(null);
            }
            snapshot = mPending.get();
        }
        return mTable.get(SnapshotRow.KEY)
                .thenCompose(
                        row -> {
                            long storedVersion =
                                    row.map(found -> decode(found).version()).orElse(0L);
                            return storedVersion >= snapshot.version()
                                    ? CompletableFuture.<Void>completedFuture(null)
                                    : write(snapshot, row.map(Row::version).orElse(0L));
                        })
                .thenRun(
                        () -> {
                            synchronized (mLock) {
                                if (mPending.isPresent() && mPending.get() == snapshot) {
                                    mPending = Optional.empty();
                                }
                            }
                        });
    }

    // The object is written first, so that the row never refers to an absent object.
    private CompletableFuture<Void> write(ConfigSnapshot snapshot, long rowVersion) {
        SnapshotRow row = new SnapshotRow(snapshot.version(), mWriteIds.next());
        ConditionalWrite write =
                new ConditionalWrite(SnapshotRow.KEY, rowVersion, Optional.of(RowJson.encode(row)));
        return mObjects.put(SnapshotRow.objectKey(snapshot.version()), snapshot.data())
                .thenCompose(
                        done ->
                                mCommit.submit(
                                        List.of(write),
                                        mNanoClock.getAsLong() + WRITE_TIMEOUT_NANOS))
                .thenApply(result -> null);
    }

    private static SnapshotRow decode(Row row) {
        return RowJson.decode(row, SnapshotRow.class);
    }
}
