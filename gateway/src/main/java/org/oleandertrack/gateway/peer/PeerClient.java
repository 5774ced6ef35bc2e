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
import org.oleandertrack.coordination.stream.StreamOrigin;
import org.oleandertrack.core.rate.PermitResult;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.gateway.organisation.PermitAnswer;
import org.oleandertrack.gateway.organisation.PermitCall;
import org.oleandertrack.http.HttpCallException;
import org.oleandertrack.http.PooledHttpClient;
import org.oleandertrack.http.ReceivedResponse;

/** Client of one peer, which relays calls to the store. Thread-safe. */
final class PeerClient implements RowStore, ConfirmationPeer {

    // The store answers the peer within several milliseconds; otherwise the peer reports a failure.
    private static final long CALL_TIMEOUT_MILLIS = 800;
    // A peer that did not respond is skipped for longer than the call timeout, so that a caller
    // waits for it at most once.
    private static final long UNRESPONSIVE_NANOS = TimeUnit.SECONDS.toNanos(2);
    // A peer that cannot reach the store probes it every 250 ms, so it may be called again after
    // that time.
    private static final long STORE_UNREACHABLE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int TOO_LARGE = 413;
    private static final String JSON = "application/json";

    // A permit delays a caller's request, so it is requested from another host soon.
    private static final long PERMIT_TIMEOUT_MILLIS = 150;

    private final PooledHttpClient mHttpClient;
    private final PermitBackoff mPermitBackoff = new PermitBackoff();
    private final IssuerContact mIssuerContact = new IssuerContact();
    private final AtomicLong mUnresponsiveUntilNanos;
    private final AtomicLong mStoreUnreachableUntilNanos;
    // When the first of the latest calls failed without an answer; 0 if the last one was answered.
    private final AtomicLong mSilentSinceNanos = new AtomicLong();

    PeerClient(PooledHttpClient httpClient) {
        long nowNanos = System.nanoTime();
        mHttpClient = httpClient;
        mUnresponsiveUntilNanos = new AtomicLong(nowNanos);
        mStoreUnreachableUntilNanos = new AtomicLong(nowNanos);
    }

    // Accessors

    /**
     * Returns false for two seconds after a call without a response of the peer, otherwise true.
     */
    boolean isResponsive(long nowNanos) {
        return nowNanos - mUnresponsiveUntilNanos.get() >= 0;
    }

    /** Returns whether this peer responds and, as far as is known, can reach the store. */
    boolean mayReachStore(long nowNanos) {
        return isResponsive(nowNanos) && nowNanos - mStoreUnreachableUntilNanos.get() >= 0;
    }

    /** Returns whether permits may be requested from this peer. */
    boolean mayIssuePermits(long nowNanos) {
        return mPermitBackoff.hasEnded(nowNanos);
    }

    /** Returns whether the peer responds to calls about permits of organisations. */
    IssuerContact issuerContact() {
        return mIssuerContact;
    }

    /** Returns whether the peer has answered no call for longer than the given time. */
    boolean isSilentFor(long millis, long nowNanos) {
        long silentSinceNanos = mSilentSinceNanos.get();
        return silentSinceNanos != 0
                && nowNanos - silentSinceNanos > TimeUnit.MILLISECONDS.toNanos(millis);
    }

    // Operations

    @Override
    public CompletableFuture<RowPage> read(
            String table, String part, Optional<String> fromKey, int limit) {
        return call(
                PeerMessages.READ_PATH,
                new PeerMessages.Read(table, part, fromKey.orElse(""), limit),
                RowPage.class,
                CALL_TIMEOUT_MILLIS);
    }

    @Override
    public CompletableFuture<TransactionResult> apply(RowTransaction transaction) {
        return call(
                        PeerMessages.APPLY_PATH,
                        transaction,
                        PeerMessages.Applied.class,
                        CALL_TIMEOUT_MILLIS)
                .thenApply(PeerMessages.Applied::toTransactionResult);
    }

    @Override
    public CompletableFuture<RowChanges> awaitChanges(
            String table, long afterVersion, long waitMillis) {
        return call(
                        PeerMessages.CHANGES_PATH,
                        new PeerMessages.AwaitChanges(table, afterVersion, waitMillis),
                        PeerMessages.Changes.class,
                        waitMillis + CALL_TIMEOUT_MILLIS)
                .thenApply(PeerMessages.Changes::toRowChanges);
    }

    CompletableFuture<Boolean> depositAllowance(PeerMessages.MoveAllowance message) {
        return moveAllowance(PeerMessages.DEPOSIT_ALLOWANCE_PATH, message);
    }

    CompletableFuture<Boolean> takeAllowance(PeerMessages.MoveAllowance message) {
        return moveAllowance(PeerMessages.TAKE_ALLOWANCE_PATH, message);
    }

    CompletableFuture<Boolean> writeTurn(PeerMessages.WriteTurn message) {
        return call(
                        PeerMessages.WRITE_TURN_PATH,
                        message,
                        PeerMessages.TurnWritten.class,
                        CALL_TIMEOUT_MILLIS)
                .thenApply(PeerMessages.TurnWritten::confirmed);
    }

    CompletableFuture<PeerMessages.FoundTurn> findTurn(PeerMessages.FindTurn message) {
        return call(
                PeerMessages.FIND_TURN_PATH,
                message,
                PeerMessages.FoundTurn.class,
                CALL_TIMEOUT_MILLIS);
    }

    CompletableFuture<Boolean> reportCrashes(PeerMessages.ReportCrashes message) {
        return call(
                        PeerMessages.REPORT_CRASHES_PATH,
                        message,
                        PeerMessages.CrashesReported.class,
                        CALL_TIMEOUT_MILLIS)
                .thenApply(PeerMessages.CrashesReported::known);
    }

    CompletableFuture<Integer> holdOrigins(PeerMessages.HoldOrigins message) {
        return call(
                        PeerMessages.HOLD_ORIGINS_PATH,
                        message,
                        PeerMessages.OriginsHeld.class,
                        CALL_TIMEOUT_MILLIS)
                .thenApply(PeerMessages.OriginsHeld::count);
    }

    CompletableFuture<Optional<StreamOrigin>> findOrigin(PeerMessages.FindOrigin message) {
        return call(
                        PeerMessages.FIND_ORIGIN_PATH,
                        message,
                        PeerMessages.FoundOrigin.class,
                        CALL_TIMEOUT_MILLIS)
                .thenApply(found -> Optional.ofNullable(found.origin()));
    }

    @Override
    public CompletableFuture<PeerMessages.ConfigurationAge> configurationAge(
            PeerMessages.AskConfigurationAge message) {
        return call(
                PeerMessages.CONFIGURATION_AGE_PATH,
                message,
                PeerMessages.ConfigurationAge.class,
                CALL_TIMEOUT_MILLIS);
    }

    @Override
    public CompletableFuture<PeerMessages.ConfigurationRow> readConfiguration(
            PeerMessages.ReadConfiguration message) {
        return call(
                PeerMessages.READ_CONFIGURATION_PATH,
                message,
                PeerMessages.ConfigurationRow.class,
                CALL_TIMEOUT_MILLIS);
    }

    /** Takes a permit for a request to a target that the peer paces. */
    CompletableFuture<PermitResult> takePermit(PeerMessages.TakePermit message) {
        byte[] body = RowJson.encode(message).getBytes(StandardCharsets.UTF_8);
        return mHttpClient
                .call(
                        HttpMethod.POST,
                        PeerMessages.TAKE_PERMIT_PATH,
                        JSON,
                        body,
                        PERMIT_TIMEOUT_MILLIS)
                .thenApply(
                        response ->
                                decode(
                                                PeerMessages.TAKE_PERMIT_PATH,
                                                response,
                                                PeerMessages.Permit.class)
                                        .toPermitResult())
                .whenComplete(
                        (result, failure) -> mPermitBackoff.record(failure, System.nanoTime()));
    }

    /** Takes a permit for a request of an organisation; fails if the peer does not decide. */
    CompletableFuture<PermitAnswer> takeOrganisationPermit(PermitCall call, long timeoutMillis) {
        return callIssuer(
                        OrganisationPermitMessages.TAKE_PATH,
                        OrganisationPermitMessages.Take.of(call),
                        OrganisationPermitMessages.Decision.class,
                        timeoutMillis)
                .thenApply(OrganisationPermitMessages.Decision::toPermitAnswer);
    }

    /** Returns whether the peer responds; the future does not fail. */
    CompletableFuture<Boolean> respondsWithin(long timeoutMillis) {
        return callIssuer(
                        OrganisationPermitMessages.REACH_PATH,
                        new OrganisationPermitMessages.Reach(),
                        OrganisationPermitMessages.Reached.class,
                        timeoutMillis)
                .thenApply(OrganisationPermitMessages.Reached::reached)
                .exceptionally(failure -> false);
    }

    void close() {
        mHttpClient.close();
    }

    private CompletableFuture<Boolean> moveAllowance(
            String path, PeerMessages.MoveAllowance message) {
        return call(path, message, PeerMessages.AllowanceMoved.class, CALL_TIMEOUT_MILLIS)
                .thenApply(PeerMessages.AllowanceMoved::moved);
    }

    private <T> CompletableFuture<T> callIssuer(
            String path, Object message, Class<T> responseType, long timeoutMillis) {
        byte[] body = RowJson.encode(message).getBytes(StandardCharsets.UTF_8);
        return mHttpClient
                .call(HttpMethod.POST, path, JSON, body, timeoutMillis)
                .whenComplete(
                        (response, failure) -> {
                            if (failure == null) {
                                mIssuerContact.recordResponse();
                            } else {
                                mIssuerContact.recordSilence(System.nanoTime());
                            }
                        })
                .thenApply(response -> decode(path, response, responseType));
    }

    private <T> CompletableFuture<T> call(
            String path, Object message, Class<T> responseType, long timeoutMillis) {
        byte[] body = RowJson.encode(message).getBytes(StandardCharsets.UTF_8);
        return mHttpClient
                .call(HttpMethod.POST, path, JSON, body, timeoutMillis)
                .handle(
                        (response, failure) -> {
                            if (failure != null) {
                                long nowNanos = System.nanoTime();
                                mUnresponsiveUntilNanos.set(nowNanos + UNRESPONSIVE_NANOS);
                                mSilentSinceNanos.compareAndSet(0, nowNanos);
                                throw new CompletionException(asStoreException(failure));
                            }
                            mSilentSinceNanos.set(0);
                            if (response.status() == SERVICE_UNAVAILABLE) {
                                mStoreUnreachableUntilNanos.set(
                                        System.nanoTime() + STORE_UNREACHABLE_NANOS);
                            }
                            return decode(path, response, responseType);
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

    private static <T> T decode(String path, ReceivedResponse response, Class<T> responseType) {
        if (response.status() == TOO_MANY_REQUESTS) {
            throw StoreException.overRate(
                    "a peer responded to " + path + " that the store is over its rate", 0);
        }
        if (response.status() == TOO_LARGE) {
            throw StoreException.rejected(
                    "a peer responded to " + path + " with status " + response.status());
        }
        if (response.status() != OK) {
            throw new StoreException(
                    response.status() == SERVICE_UNAVAILABLE
                            ? Execution.NOT_RUN
                            : Execution.UNKNOWN,
                    "a peer responded to " + path + " with status " + response.status(),
                    null);
        }
        return RowJson.decode(path, response.body().toString(StandardCharsets.UTF_8), responseType);
    }
}
