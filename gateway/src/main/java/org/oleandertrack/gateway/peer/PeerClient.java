package org.oleandertrack.gateway.peer;

import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.oleandertrack.coordination.store.RowChanges;
import org.oleandertrack.coordination.store.RowJson;
import org.oleandertrack.coordination.store.RowPage;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.RowTransaction;
import org.oleandertrack.coordination.store.StoreException;
import org.oleandertrack.coordination.store.TransactionResult;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.http.HttpCallException;
import org.oleandertrack.http.HttpCaller;
import org.oleandertrack.http.HttpReply;

/** Calls to one peer, which passes those for the store on to it. Thread-safe. */
final class PeerClient implements RowStore {

    // The store answers the peer in some milliseconds, or the peer says that it does not.
    private static final long CALL_TIMEOUT_MILLIS = 800;
    // A peer that did not answer is left out for longer than the call took, so that an outage costs
    // a caller at most one wait.
    private static final long SILENT_NANOS = TimeUnit.SECONDS.toNanos(2);
    // A gateway that is cut off from the store finds its return with a probe each 250 ms.
    private static final long WITHOUT_STORE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final String JSON = "application/json";

    private final HttpCaller mCaller;
    private final AtomicLong mSilentUntilNanos;
    private final AtomicLong mWithoutStoreUntilNanos;

    PeerClient(HttpCaller caller) {
        long nowNanos = System.nanoTime();
        mCaller = caller;
        mSilentUntilNanos = new AtomicLong(nowNanos);
        mWithoutStoreUntilNanos = new AtomicLong(nowNanos);
    }

    // Accessors

    /** Returns whether the peer answered when it was last asked, or that was a while ago. */
    boolean answers(long nowNanos) {
        return nowNanos - mSilentUntilNanos.get() >= 0;
    }

    /** Returns whether a call to the store may succeed through this peer. */
    boolean reachesStore(long nowNanos) {
        return answers(nowNanos) && nowNanos - mWithoutStoreUntilNanos.get() >= 0;
    }

    // Operations

    @Override
    public CompletableFuture<RowPage> read(
            String table, String part, Optional<String> fromKey, int limit) {
        return call(
                PeerMessages.READ,
                new PeerMessages.Read(table, part, fromKey.orElse(""), limit),
                RowPage.class,
                CALL_TIMEOUT_MILLIS);
    }

    @Override
    public CompletableFuture<TransactionResult> apply(RowTransaction transaction) {
        return call(
                        PeerMessages.APPLY,
                        transaction,
                        PeerMessages.Applied.class,
                        CALL_TIMEOUT_MILLIS)
                .thenApply(PeerMessages.Applied::toResult);
    }

    @Override
    public CompletableFuture<RowChanges> awaitChanges(
            String table, long afterVersion, long waitMillis) {
        return call(
                        PeerMessages.CHANGES,
                        new PeerMessages.AwaitChanges(table, afterVersion, waitMillis),
                        PeerMessages.Changes.class,
                        waitMillis + CALL_TIMEOUT_MILLIS)
                .thenApply(PeerMessages.Changes::toAnswer);
    }

    CompletableFuture<Boolean> takeAllowance(PeerMessages.TakeAllowance message) {
        return call(
                        PeerMessages.TAKE_ALLOWANCE,
                        message,
                        PeerMessages.Taken.class,
                        CALL_TIMEOUT_MILLIS)
                .thenApply(PeerMessages.Taken::taken);
    }

    CompletableFuture<Boolean> returnAllowance(PeerMessages.ReturnAllowance message) {
        return call(
                        PeerMessages.RETURN_ALLOWANCE,
                        message,
                        PeerMessages.Taken.class,
                        CALL_TIMEOUT_MILLIS)
                .thenApply(PeerMessages.Taken::taken);
    }

    void close() {
        mCaller.close();
    }

    private <T> CompletableFuture<T> call(
            String path, Object message, Class<T> answerType, long timeoutMillis) {
        byte[] body = RowJson.encode(message).getBytes(StandardCharsets.UTF_8);
        return mCaller.call(HttpMethod.POST, path, JSON, body, timeoutMillis)
                .handle(
                        (reply, failure) -> {
                            if (failure != null) {
                                mSilentUntilNanos.set(System.nanoTime() + SILENT_NANOS);
                                throw new CompletionException(asStoreException(failure));
                            }
                            if (reply.status() == SERVICE_UNAVAILABLE) {
                                mWithoutStoreUntilNanos.set(
                                        System.nanoTime() + WITHOUT_STORE_NANOS);
                            }
                            return decode(path, reply, answerType);
                        });
    }

    private static StoreException asStoreException(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null
                        ? failure.getCause()
                        : failure;
        boolean notRun = cause instanceof HttpCallException call && !call.mayHaveRun();
        return new StoreException(
                notRun ? Execution.NOT_RUN : Execution.UNKNOWN, cause.getMessage(), cause);
    }

    private static <T> T decode(String path, HttpReply reply, Class<T> answerType) {
        if (reply.status() != OK) {
            throw new StoreException(
                    reply.status() == SERVICE_UNAVAILABLE ? Execution.NOT_RUN : Execution.UNKNOWN,
                    "a peer answered " + path + " with status " + reply.status(),
                    null);
        }
        return RowJson.decode(path, reply.body().toString(StandardCharsets.UTF_8), answerType);
    }
}
