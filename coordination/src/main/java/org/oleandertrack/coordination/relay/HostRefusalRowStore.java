package org.oleandertrack.coordination.relay;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.LongSupplier;
import org.oleandertrack.coordination.store.RowChanges;
import org.oleandertrack.coordination.store.RowPage;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.RowTransaction;
import org.oleandertrack.coordination.store.StoreException;
import org.oleandertrack.coordination.store.StoreFailures;
import org.oleandertrack.coordination.store.TransactionResult;
import org.oleandertrack.core.result.Execution;

/**
 * Makes direct calls to the store, and reports a store that refuses all calls of this host for its
 * rate as one that cannot be reached, so that the calls are passed to peers. Thread-safe.
 */
public final class HostRefusalRowStore implements RowStore {

    private final RowStore mDirect;
    private final LongSupplier mNanoClock;
    private final HostRefusals mRefusals = new HostRefusals();

    /** Creates a store that makes its calls through the given one. */
    public HostRefusalRowStore(RowStore direct, LongSupplier nanoClock) {
        mDirect = direct;
        mNanoClock = nanoClock;
    }

    @Override
    public CompletableFuture<RowPage> read(
            String table, String part, Optional<String> fromKey, int limit) {
        return classify(mDirect.read(table, part, fromKey, limit));
    }

    @Override
    public CompletableFuture<TransactionResult> apply(RowTransaction transaction) {
        return classify(mDirect.apply(transaction));
    }

    @Override
    public CompletableFuture<RowChanges> awaitChanges(
            String table, long afterVersion, long waitMillis) {
        return classify(mDirect.awaitChanges(table, afterVersion, waitMillis));
    }

    private <T> CompletableFuture<T> classify(CompletableFuture<T> call) {
        return call.handle(
                (value, failure) -> {
                    if (failure == null) {
                        recordOther();
                        return value;
                    }
                    if (!StoreFailures.isOverRate(failure)) {
                        recordOther();
                        throw new CompletionException(StoreFailures.asStoreException(failure));
                    }
                    if (recordRefusal()) {
                        throw new CompletionException(
                                new StoreException(
                                        Execution.NOT_RUN,
                                        "the store refuses all calls of this host for its rate",
                                        failure));
                    }
                    throw new CompletionException(StoreFailures.asStoreException(failure));
                });
    }

    private synchronized void recordOther() {
        mRefusals.recordOther();
    }

    private synchronized boolean recordRefusal() {
        return mRefusals.recordRefusal(mNanoClock.getAsLong());
    }
}
