package org.oleandertrack.coordination.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.coordination.store.RowId;
import org.oleandertrack.coordination.store.RowJson;
import org.oleandertrack.coordination.store.RowKeys;
import org.oleandertrack.coordination.store.RowPage;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.RowTransaction;
import org.oleandertrack.coordination.store.StoreFailures;
import org.oleandertrack.coordination.store.StoredRow;

/**
 * The software versions that targets of each service have ever had, as rows of the store. Each host
 * registers a version before it uses a target that has it. So if a service has one registered
 * version, each of its streams began at that version, whoever asks. Thread-safe.
 */
public final class SoftwareVersions {

    static final String TABLE = "software-versions";

    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    // More versions than this are not told apart from two.
    private static final int PAGE_ROWS = 100;

    private final RowStore mStore;
    private final Scheduler mScheduler;
    private final StreamOriginListener mListener;
    private final Set<StreamOrigin> mRegistered = new HashSet<>();
    private final Map<StreamOrigin, List<Runnable>> mWaiting = new HashMap<>();

    /** Creates a register that has not registered any version yet. */
    public SoftwareVersions(RowStore store, Scheduler scheduler, StreamOriginListener listener) {
        mStore = store;
        mScheduler = scheduler;
        mListener = listener;
    }

    // Operations

    /**
     * Registers a version of a service, however long it takes.
     *
     * @param onRegistered called once the store has the version, possibly before this method
     *     returns
     */
    public void register(StreamOrigin version, Runnable onRegistered) {
        boolean registered;
        boolean first = false;
        synchronized (this) {
            registered = mRegistered.contains(version);
            if (!registered) {
                first = !mWaiting.containsKey(version);
                mWaiting.computeIfAbsent(version, key -> new ArrayList<>()).add(onRegistered);
            }
        }
        if (registered) {
            onRegistered.run();
        } else if (first) {
            tryRegister(version);
        }
    }

    /**
     * Finds the version of a service's streams. The future fails if the store cannot be read.
     *
     * @return the version; empty if there are several
     */
    CompletableFuture<Optional<StreamOrigin>> findSole(String service) {
        return readVersions(service)
                .thenApply(
                        page ->
                                page.rows().size() == 1
                                        ? decode(page.rows().getFirst())
                                        : Optional.empty());
    }

    // Helpers

    // The version is mostly there already, and a read costs the store less than a transaction.
    private void tryRegister(StreamOrigin version) {
        RowId row = rowOf(version);
        var _ =
                readVersions(version.service())
                        .thenCompose(
                                page ->
                                        page.rows().stream()
                                                        .anyMatch(found -> found.id().equals(row))
                                                ? CompletableFuture.completedFuture(null)
                                                : write(row, version))
                        .whenComplete(
                                (done, failure) -> {
                                    if (failure == null) {
                                        onRegistered(version);
                                        return;
                                    }
                                    mListener.onNotRegistered(
                                            version,
                                            StoreFailures.asStoreException(failure).getMessage());
                                    mScheduler.schedule(RETRY_NANOS, () -> tryRegister(version));
                                });
    }

    private void onRegistered(StreamOrigin version) {
        List<Runnable> waiting;
        synchronized (this) {
            mRegistered.add(version);
            waiting = mWaiting.remove(version);
        }
        waiting.forEach(Runnable::run);
    }

    private CompletableFuture<Void> write(RowId row, StreamOrigin version) {
        return mStore.apply(
                        new RowTransaction(
                                List.of(),
                                List.of(new RowTransaction.Write(row, RowJson.encode(version))),
                                List.of()))
                .thenAccept(result -> {});
    }

    private CompletableFuture<RowPage> readVersions(String service) {
        return mStore.read(TABLE, RowKeys.ofId(service), Optional.empty(), PAGE_ROWS);
    }

    private Optional<StreamOrigin> decode(StoredRow row) {
        try {
            return Optional.of(
                    RowJson.decode(row.id().toString(), row.value(), StreamOrigin.class));
        } catch (IllegalStateException e) {
            mListener.onUnreadable(row.id().key(), String.valueOf(e.getMessage()));
            return Optional.empty();
        }
    }

    private static RowId rowOf(StreamOrigin version) {
        return new RowId(
                TABLE, RowKeys.ofId(version.service()), RowKeys.ofId(version.softwareVersion()));
    }
}
