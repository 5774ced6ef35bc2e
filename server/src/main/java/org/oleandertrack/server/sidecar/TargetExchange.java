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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.protocol.InboundCall;
import org.oleandertrack.protocol.message.Header;
import org.oleandertrack.protocol.message.ResponseHead;
import org.oleandertrack.protocol.message.Usage;

/**
 * One HTTP exchange with the target. The answer is passed on part by part; the next part is read
 * only when the peer's window allows it. Thread safe.
 */
@SuppressWarnings("FutureReturnValueIgnored") // The callbacks handle failures themselves.
final class TargetExchange {

    /** How an exchange ended. */
    record Outcome(ResultCode code, Execution execution, String message, Usage usage) {

        boolean isSuccess() {
            return message.isEmpty();
        }
    }

    private final InboundCall mCall;
    private final UsageScanner mUsage;
    private final CompletableFuture<Outcome> mOutcome = new CompletableFuture<>();
    private volatile boolean mHeadReceived;
    private volatile CompletableFuture<HttpResponse<Void>> mResponse;

    TargetExchange(InboundCall call, UsageScanner usage) {
        mCall = call;
        mUsage = usage;
    }

    // Life-cycle

    void begin(HttpClient client, HttpRequest request) {
        mResponse = client.sendAsync(request, this::subscribe);
        mResponse.whenComplete((response, failure) -> complete(failure));
        mCall.cancelled()
                .thenRun(() -> abort(ResultCode.CANCELLED, "the caller cancelled the call"));
    }

    /** Ends the exchange early and closes its connection, which cancels it at the target. */
    void abort(ResultCode code, String reason) {
        Execution execution = mHeadReceived ? Execution.RUN : Execution.UNKNOWN;
        if (mOutcome.complete(new Outcome(code, execution, reason, usage()))) {
            mResponse.cancel(true);
        }
    }

    // Accessors

    /** Completes normally when the exchange has ended, successfully or not. */
    CompletableFuture<Outcome> outcome() {
        return mOutcome;
    }

    // Helpers

    private HttpResponse.BodySubscriber<Void> subscribe(HttpResponse.ResponseInfo info) {
        mHeadReceived = true;
        ResponseHead.Builder head = ResponseHead.newBuilder().setStatus(info.statusCode());
        info.headers().map().forEach((name, values) -> addHeaders(head, name, values));
        mCall.respondHead(head.build());
        return new Relay();
    }

    private static void addHeaders(ResponseHead.Builder head, String name, List<String> values) {
        if (HopHeaders.isHopHeader(name)) {
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
                        : failed(unwrap(failure)));
    }

    private Outcome failed(Throwable cause) {
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
        return new Outcome(code, execution, "exchange with the target failed: " + cause, usage());
    }

    private Usage usage() {
        synchronized (mUsage) {
            return mUsage.usage().orElse(Usage.getDefaultInstance());
        }
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null
                ? failure.getCause()
                : failure;
    }

    /** Passes the parts of the answer to the peer, one at a time. */
    private final class Relay implements HttpResponse.BodySubscriber<Void> {

        private final CompletableFuture<Void> mDone = new CompletableFuture<>();
        private Flow.Subscription mSubscription;

        @Override
        public CompletionStage<Void> getBody() {
            return mDone;
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
            synchronized (mUsage) {
                mUsage.add(data);
            }
            mCall.respondBody(data).whenComplete((sent, failure) -> advance(failure));
        }

        @Override
        public void onError(Throwable failure) {
            mDone.completeExceptionally(failure);
        }

        @Override
        public void onComplete() {
            mDone.complete(null);
        }

        private void advance(Throwable failure) {
            if (failure == null) {
                mSubscription.request(1);
                return;
            }
            mSubscription.cancel();
            mDone.completeExceptionally(failure);
        }
    }
}
