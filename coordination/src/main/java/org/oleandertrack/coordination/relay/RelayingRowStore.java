package org.oleandertrack.coordination.relay;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import java.util.function.Supplier;
import org.oleandertrack.coordination.store.RowChanges;
import org.oleandertrack.coordination.store.RowPage;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.RowTransaction;
import org.oleandertrack.coordination.store.StoreException;
import org.oleandertrack.coordination.store.StoreFailures;
import org.oleandertrack.coordination.store.TransactionResult;
import org.oleandertrack.core.result.Execution;

/**
 * Calls the store directly, or through a peer while direct calls fail. The store may refuse the
 * calls of some hosts, or be unreachable from them, while it serves the other hosts. A transaction
 * is passed to a peer only if it certainly has not been applied. While direct calls fail, only
 * {@link #probe} makes direct calls. A call that is refused for the store's rate is not passed on,
 * because the rate is that of all hosts together. Thread-safe.
 */
public final class RelayingRowStore implements RowStore {

    // Further peers are tried, because the first ones may be unable to reach the store too; they
    // say
    // so within a few milliseconds.
    private static final int MAX_PEERS_TRIED = 6;
    // A peer that does not answer at all costs the timeout of a call.
    private static final int MAX_UNANSWERED = 2;
    private static final String PROBE_TABLE = "probe";

    private final RowStore mDirect;
    private final Supplier<List<RowStore>> mPeers;
    private final Random mRandom;
    private final StoreRefusalListener mListener;
    private final AtomicBoolean mDirectFailing = new AtomicBoolean();
    private final AtomicBoolean mProbing = new AtomicBoolean();

    /**
     * Creates a store.
     *
     * @param direct makes direct calls to the store
     * @param peers returns one store for each peer, which passes calls on to that peer; asked again
     *     for each call
     * @param listener receives each direct call that failed
     */
    public RelayingRowStore(
            RowStore direct,
            Supplier<List<RowStore>> peers,
            Random random,
            StoreRefusalListener listener) {
        mDirect = direct;
        mPeers = peers;
        mRandom = random;
        mListener = listener;
    }

    // Accessors

    /**
     * Returns whether the direct call that ended last failed. A call that the store refused for its
     * rate, or rejected, counts as answered.
     */
    public boolean isDirectFailing() {
        return mDirectFailing.get();
    }

    // Operations

    @Override
    public CompletableFuture<RowPage> read(
            String table, String part, Optional<String> fromKey, int limit) {
        return call(store -> store.read(table, part, fromKey, limit), true);
    }

    @Override
    public CompletableFuture<TransactionResult> apply(RowTransaction transaction) {
        return call(store -> store.apply(transaction), false);
    }

    @Override
    public CompletableFuture<RowChanges> awaitChanges(
            String table, long afterVersion, long waitMillis) {
        return call(store -> store.awaitChanges(table, afterVersion, waitMillis), true);
    }

    /** Makes a direct call to test the store, if the last direct call failed. Call regularly. */
    public void probe() {
        if (!mDirectFailing.get() || !mProbing.compareAndSet(false, true)) {
            return;
        }
        var _ =
                callDirectly(store -> store.read(PROBE_TABLE, "", Optional.empty(), 1))
                        .whenComplete((page, failure) -> mProbing.set(false));
    }

    // Helpers

    private <T> CompletableFuture<T> call(
            Function<RowStore, CompletableFuture<T>> call, boolean repeatable) {
        if (mDirectFailing.get()) {
            return callThroughPeers(call, repeatable);
        }
        return callDirectly(call)
                .exceptionallyCompose(
                        failure ->
                                mayTryAgain(failure, repeatable)
                                        ? callThroughPeers(call, repeatable)
                                        : CompletableFuture.failedFuture(failure));
    }

    private <T> CompletableFuture<T> callDirectly(Function<RowStore, CompletableFuture<T>> call) {
        return call.apply(mDirect).whenComplete((value, failure) -> onDirectCallEnded(failure));
    }

    private void onDirectCallEnded(Throwable failure) {
        boolean overRate = StoreFailures.isOverRate(failure);
        boolean rejected = StoreFailures.isRejected(failure);
        mDirectFailing.set(failure != null && !overRate && !rejected);
        if (failure == null) {
            return;
        }
        String reason = StoreFailures.asStoreException(failure).getMessage();
        if (overRate) {
            mListener.onOverRate(reason);
        } else if (rejected) {
            mListener.onRejected(reason);
        } else {
            mListener.onUnavailable(reason);
        }
    }

    private <T> CompletableFuture<T> callThroughPeers(
            Function<RowStore, CompletableFuture<T>> call, boolean repeatable) {
        List<RowStore> peers = new ArrayList<>(mPeers.get());
        Collections.shuffle(peers, mRandom);
        return callPeer(peers, 0, 0, call, repeatable);
    }

    private static <T> CompletableFuture<T> callPeer(
            List<RowStore> peers,
            int index,
            int unanswered,
            Function<RowStore, CompletableFuture<T>> call,
            boolean repeatable) {
        if (index >= Math.min(MAX_PEERS_TRIED, peers.size()) || unanswered >= MAX_UNANSWERED) {
            return CompletableFuture.failedFuture(
                    new StoreException(
                            Execution.NOT_RUN,
                            "the store cannot be reached, directly or through peers",
                            null));
        }
        return call.apply(peers.get(index))
                .exceptionallyCompose(
                        failure ->
                                mayTryAgain(failure, repeatable)
                                        ? callPeer(
                                                peers,
                                                index + 1,
                                                unanswered + (isRefusal(failure) ? 0 : 1),
                                                call,
                                                repeatable)
                                        : CompletableFuture.failedFuture(
                                                new CompletionException(failure)));
    }

    private static boolean mayTryAgain(Throwable failure, boolean repeatable) {
        return !StoreFailures.isOverRate(failure)
                && !StoreFailures.isRejected(failure)
                && (repeatable || isRefusal(failure));
    }

    private static boolean isRefusal(Throwable failure) {
        return StoreFailures.executionOf(failure) == Execution.NOT_RUN;
    }
}
