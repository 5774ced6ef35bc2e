package org.oleandertrack.server.sidecar;

import com.google.protobuf.ByteString;
import java.net.ConnectException;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import java.util.function.Consumer;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.protocol.InboundCall;
import org.oleandertrack.protocol.message.Header;
import org.oleandertrack.protocol.message.ResponseHead;
import org.oleandertrack.protocol.message.Usage;

/**
 * One HTTP request to the target and its response. The response body is forwarded to the peer chunk
 * by chunk; the next chunk is read only when the peer's flow-control window has room for it. Thread
 * safe.
 */
@SuppressWarnings("FutureReturnValueIgnored") // The callbacks handle failures themselves.
final class TargetExchange {

    /**
     * The result of an exchange.
     *
     * @param code the result code of a failure; meaningless if the exchange succeeded
     * @param execution whether the target ran the call
     * @param message what failed; empty if the exchange succeeded
     * @param usage token usage that the response reported
     */
    record Outcome(ResultCode code, Execution execution, String message, Usage usage) {

        boolean isSuccess() {
            return message.isEmpty();
        }
    }

    private static final int MAX_STATUS = 599;

    private final InboundCall mCall;
    private final UsageScanner mUsageScanner;
    private final Consumer<OptionalDouble> mOnRateStated;
    private final CompletableFuture<Outcome> mOutcome = new CompletableFuture<>();
    private volatile boolean mHeadReceived;
    private volatile CompletableFuture<HttpResponse<Void>> mResponseFuture;

    TargetExchange(InboundCall call, UsageScanner usage, Consumer<OptionalDouble> onRateStated) {
        mCall = call;
        mUsageScanner = usage;
        mOnRateStated = onRateStated;
    }

    // Life-cycle

    /**
     * Sends the request.
     *
     * @param client a client for this exchange alone, which is shut down at its end
     */
    void send(HttpClient client, HttpRequest request) {
        mResponseFuture = client.sendAsync(request, this::onResponseHead);
        mResponseFuture.whenComplete(
                (response, failure) -> {
                    client.shutdownNow();
                    complete(failure);
                });
        mCall.cancelled()
                .thenRun(() -> abort(ResultCode.CANCELLED, "the caller cancelled the call"));
    }

    /** Aborts the exchange and closes its connection, which cancels the call at the target. */
    void abort(ResultCode code, String reason) {
        Execution execution = mHeadReceived ? Execution.RUN : Execution.UNKNOWN;
        if (mOutcome.complete(new Outcome(code, execution, reason, usage()))) {
            mResponseFuture.cancel(true);
        }
    }

    // Accessors

    /** Returns a future that completes normally when the exchange succeeds or fails. */
    CompletableFuture<Outcome> outcome() {
        return mOutcome;
    }

    // Helpers

    private HttpResponse.BodySubscriber<Void> onResponseHead(HttpResponse.ResponseInfo info) {
        // The client checks only that the status is at least 100.
        if (info.statusCode() > MAX_STATUS) {
            throw new IllegalStateException(
                    "the target responded with status " + info.statusCode());
        }
        mHeadReceived = true;
        mOnRateStated.accept(StatedRateHeader.read(info.headers()));
        ResponseHead.Builder head = ResponseHead.newBuilder().setStatus(info.statusCode());
        info.headers().map().forEach((name, values) -> addHeaders(head, name, values));
        mCall.respondHead(head.build());
        return new BodyForwarder();
    }

    private static void addHeaders(ResponseHead.Builder head, String name, List<String> values) {
        if (HopByHopHeaders.isHopByHop(name)) {
            return;
        }
        for (String value : values) {
            head.addHeaders(Header.newBuilder().setName(name).setValue(value));
        }
    }

    private void complete(Throwable failure) {
        mOutcome.complete(
                failure == null
                        ? new Outcome(ResultCode.TARGET_FAILED, Execution.RUN, "", usage())
                        : toOutcome(unwrap(failure)));
    }

    private Outcome toOutcome(Throwable cause) {
        if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
            return new Outcome(
                    ResultCode.TARGET_UNREACHABLE,
                    Execution.NOT_RUN,
                    "cannot connect to the target: " + cause,
                    usage());
        }
        Execution execution = mHeadReceived ? Execution.RUN : Execution.UNKNOWN;
        ResultCode code =
                cause instanceof HttpTimeoutException
                        ? ResultCode.TARGET_TIMEOUT
                        : ResultCode.TARGET_FAILED;
        return new Outcome(
                code, execution, "HTTP exchange with the target failed: " + cause, usage());
    }

    private Usage usage() {
        synchronized (mUsageScanner) {
            return mUsageScanner.usage().orElse(Usage.getDefaultInstance());
        }
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null
                ? failure.getCause()
                : failure;
    }

    /** Forwards the chunks of the response body to the peer, one at a time. */
    private final class BodyForwarder implements HttpResponse.BodySubscriber<Void> {

        private final CompletableFuture<Void> mBodyDone = new CompletableFuture<>();
        private Flow.Subscription mSubscription;

        @Override
        public CompletionStage<Void> getBody() {
            return mBodyDone;
        }

        @Override
        public void onSubscribe(Flow.Subscription subscription) {
            mSubscription = subscription;
            subscription.request(1);
        }

        @Override
        public void onNext(List<ByteBuffer> buffers) {
            ByteString data = ByteString.EMPTY;
            for (ByteBuffer buffer : buffers) {
                data = data.concat(ByteString.copyFrom(buffer));
            }
            synchronized (mUsageScanner) {
                mUsageScanner.add(data);
            }
            mCall.respondBody(data).whenComplete((sent, failure) -> onChunkForwarded(failure));
        }

        @Override
        public void onError(Throwable failure) {
            mBodyDone.completeExceptionally(failure);
        }

        @Override
        public void onComplete() {
            mBodyDone.complete(null);
        }

        private void onChunkForwarded(Throwable failure) {
            if (failure == null) {
                mSubscription.request(1);
                return;
            }
            mSubscription.cancel();
            mBodyDone.completeExceptionally(failure);
        }
    }
}
