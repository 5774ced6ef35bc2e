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
 * Snapshots of the configuration: an object each, and one row that names the latest. Any process
 * can write one; those that see the row name it already do not. Thread safe.
 */
public final class SnapshotStore {

    private static final long WRITE_NANOS = 5_000_000_000L;
    // Polls that a process lets pass, at most, so that mostly one of them writes the snapshot.
    private static final int MAX_POLLS_WAITED = 20;

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

    /** Takes a snapshot that is to be written unless another process does so first. */
    void offer(ConfigSnapshot snapshot) {
        synchronized (mLock) {
            mPending = Optional.of(snapshot);
            mPollsToWait = mRandom.nextInt(MAX_POLLS_WAITED);
        }
    }

    /** Writes the snapshot offered last; a failure leaves it for the next poll. */
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
                            long known = row.map(found -> decode(found).version()).orElse(0L);
                            return known >= snapshot.version()
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

    // The object exists before the row that names it.
    private CompletableFuture<Void> write(ConfigSnapshot snapshot, long rowVersion) {
        SnapshotRow row = new SnapshotRow(snapshot.version(), mWriteIds.next());
        ConditionalWrite write =
                new ConditionalWrite(SnapshotRow.KEY, rowVersion, Optional.of(RowJson.encode(row)));
        return mObjects.put(SnapshotRow.objectKey(snapshot.version()), snapshot.data())
                .thenCompose(
                        done ->
                                mCommit.submit(
                                        List.of(write), mNanoClock.getAsLong() + WRITE_NANOS))
                .thenApply(result -> null);
    }

    private static SnapshotRow decode(Row row) {
        return RowJson.decode(row, SnapshotRow.class);
    }
}
