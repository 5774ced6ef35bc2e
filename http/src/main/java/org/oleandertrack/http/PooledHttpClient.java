package org.oleandertrack.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * HTTP client for one server, with a pool of persistent connections. Requests and responses are
 * held in memory as a whole. A call that exceeds its timeout closes its connection; the timeout
 * starts again with each large part of the response. Thread-safe; futures complete on the event
 * loop.
 */
public final class PooledHttpClient {

    // A connection that was idle for longer is not reused, because a middlebox may have dropped it
    // silently, and a call over a dropped connection fails. With this limit, at most one call fails
    // in this way while calls are rare.
    private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    // The largest response is a page of 1 MB of rows, encoded as Base64 in JSON, or a turn of a
    // peer.
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
    // A call is given up if less than this arrives within its timeout. A limit for the whole
    // response would cut off a large one on a busy link or host, at every try. A link of 15 Mbit/s
    // delivers this much in 35 ms.
    private static final int MIN_PROGRESS_BYTES = 64 * 1024;

    private final EventLoop mLoop;
    private final InetSocketAddress mRemote;
    private final String mHostHeader;
    private final ArrayDeque<OutboundConnection> mIdleConnections = new ArrayDeque<>();

    /** Creates a client without connections. */
    public PooledHttpClient(EventLoop loop, InetSocketAddress remote) {
        mLoop = loop;
        mRemote = remote;
        mHostHeader = remote.getHostString() + ":" + remote.getPort();
    }

    /**
     * Makes a call. The future fails with {@link HttpCallException} if no complete response arrives
     * in time.
     *
     * @param uri path and query of the request
     * @param contentType media type of the body; ignored if the body is empty
     * @param timeoutMillis longest time to a complete response, or to the next 64 KB of it
     */
    public CompletableFuture<ReceivedResponse> call(
            HttpMethod method, String uri, String contentType, byte[] body, long timeoutMillis) {
        DefaultHttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, uri);
        head.headers().set(HttpHeaderNames.HOST, mHostHeader);
        if (body.length > 0) {
            head.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return call(head, body, timeoutMillis);
    }

    /**
     * Makes a call with a prepared request head.
     *
     * @param head must contain {@code Content-Length} if the body is not empty
     */
    public CompletableFuture<ReceivedResponse> call(
            DefaultHttpRequest head, byte[] body, long timeoutMillis) {
        CompletableFuture<ReceivedResponse> response = new CompletableFuture<>();
        mLoop.execute(() -> start(head, body, timeoutMillis, response));
        return response;
    }

    /** Closes the idle connections. Calls in progress are not affected. */
    public void close() {
        mLoop.execute(
                () -> {
                    mIdleConnections.forEach(OutboundConnection::close);
                    mIdleConnections.clear();
                });
    }

    private void start(
            DefaultHttpRequest head,
            byte[] body,
            long timeoutMillis,
            CompletableFuture<ReceivedResponse> response) {
        OutboundConnection connection = takeConnection();
        PendingCall call =
                new PendingCall(
                        head.method() + " " + head.uri(), connection, timeoutMillis, response);
        call.startTimer();
        connection.send(head, Unpooled.wrappedBuffer(body), call);
    }

    private OutboundConnection takeConnection() {
        long nowNanos = System.nanoTime();
        while (!mIdleConnections.isEmpty()) {
            OutboundConnection connection = mIdleConnections.pollLast();
            if (connection.isReusable()
                    && nowNanos - connection.idleSinceNanos() < maxIdleNanos(connection)) {
                return connection;
            }
            connection.close();
        }
        return OutboundConnection.open(
                mLoop, mRemote, CONNECT_TIMEOUT_MILLIS, ReadLimits.BULK, () -> {});
    }

    // A connection is reused only within half of the announced idle timeout, so that the server
    // does not close it while the next request is on its way.
    private static long maxIdleNanos(OutboundConnection connection) {
        return connection
                .announcedIdleTimeoutMillis()
                .map(millis -> Math.min(MAX_IDLE_NANOS, TimeUnit.MILLISECONDS.toNanos(millis) / 2))
                .orElse(MAX_IDLE_NANOS);
    }

    /** A call in progress. */
    private final class PendingCall implements OutboundExchange {
        private final String mDescription;
        private final OutboundConnection mConnection;
        private final long mTimeoutMillis;
        private final CompletableFuture<ReceivedResponse> mResponse;
        private final ByteBuf mBody = Unpooled.buffer();
        private HttpResponse mHead;
        private ScheduledFuture<?> mTimer;
        // Length of the body when the timer was started.
        private int mTimedBytes;

        private PendingCall(
                String description,
                OutboundConnection connection,
                long timeoutMillis,
                CompletableFuture<ReceivedResponse> response) {
            mDescription = description;
            mConnection = connection;
            mTimeoutMillis = timeoutMillis;
            mResponse = response;
        }

        private void startTimer() {
            mTimer = mLoop.schedule(this::onTimeout, mTimeoutMillis, TimeUnit.MILLISECONDS);
        }

        private void onTimeout() {
            mConnection.close();
            mResponse.completeExceptionally(
                    new HttpCallException(
                            mDescription + " to " + mHostHeader + " was not answered in time",
                            true));
        }

        @Override
        public boolean onHead(HttpResponse head) {
            mHead = head;
            return true;
        }

        @Override
        public void onContent(ByteBuf part) {
            if (mBody.readableBytes() + part.readableBytes() > MAX_RESPONSE_BYTES) {
                mConnection.close();
                onFailure(OutboundFailure.MALFORMED);
                return;
            }
            mBody.writeBytes(part);
            if (mBody.readableBytes() - mTimedBytes >= MIN_PROGRESS_BYTES) {
                mTimer.cancel(false);
                mTimedBytes = mBody.readableBytes();
                startTimer();
            }
        }

        @Override
        public void onEnd() {
            mTimer.cancel(false);
            if (mConnection.isReusable()) {
                mIdleConnections.addLast(mConnection);
            }
            mResponse.complete(new ReceivedResponse(mHead.status().code(), mHead.headers(), mBody));
        }

        @Override
        public void onFailure(OutboundFailure failure) {
            mTimer.cancel(false);
            mResponse.completeExceptionally(
                    new HttpCallException(
                            mDescription + " to " + mHostHeader + " failed: " + failure,
                            failure.mayHaveRun()));
        }
    }
}
