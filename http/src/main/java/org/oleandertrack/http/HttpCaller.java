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
 * Makes whole calls to one server over kept connections. Each call is bounded in time, and a call
 * that exceeds its bound closes its connection. Thread-safe; futures complete on the event loop.
 */
public final class HttpCaller {

    // A kept connection that was idle for longer is not used again, so that a connection that a
    // middlebox has dropped silently costs at most one call in a quiet period.
    private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final EventLoop mLoop;
    private final InetSocketAddress mRemote;
    private final String mHost;
    private final ArrayDeque<OutboundConnection> mIdle = new ArrayDeque<>();

    /** Creates a caller without connections. */
    public HttpCaller(EventLoop loop, InetSocketAddress remote) {
        mLoop = loop;
        mRemote = remote;
        mHost = remote.getHostString() + ":" + remote.getPort();
    }

    /**
     * Makes a call. The future fails with {@link HttpCallException} if no whole response arrives in
     * time.
     *
     * @param target path and query
     * @param contentType type of the body; ignored if the body is empty
     */
    public CompletableFuture<HttpReply> call(
            HttpMethod method, String target, String contentType, byte[] body, long timeoutMillis) {
        DefaultHttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, target);
        head.headers().set(HttpHeaderNames.HOST, mHost);
        if (body.length > 0) {
            head.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return call(head, body, timeoutMillis);
    }

    /** Makes a call with a prepared head, which needs its length set if there is a body. */
    public CompletableFuture<HttpReply> call(
            DefaultHttpRequest head, byte[] body, long timeoutMillis) {
        CompletableFuture<HttpReply> reply = new CompletableFuture<>();
        mLoop.execute(() -> start(head, body, timeoutMillis, reply));
        return reply;
    }

    /** Closes the idle connections. Calls under way end by their own. */
    public void close() {
        mLoop.execute(
                () -> {
                    mIdle.forEach(OutboundConnection::close);
                    mIdle.clear();
                });
    }

    private void start(
            DefaultHttpRequest head,
            byte[] body,
            long timeoutMillis,
            CompletableFuture<HttpReply> reply) {
        OutboundConnection connection = takeConnection();
        Call call = new Call(head.method() + " " + head.uri(), connection, reply);
        call.mTimer = mLoop.schedule(call::expire, timeoutMillis, TimeUnit.MILLISECONDS);
        connection.send(head, Unpooled.wrappedBuffer(body), call);
    }

    private OutboundConnection takeConnection() {
        long nowNanos = System.nanoTime();
        while (!mIdle.isEmpty()) {
            OutboundConnection connection = mIdle.pollLast();
            if (connection.isReusable()
                    && nowNanos - connection.idleSinceNanos() < maxIdleNanos(connection)) {
                return connection;
            }
            connection.close();
        }
        return OutboundConnection.open(mLoop, mRemote, CONNECT_TIMEOUT_MILLIS, () -> {});
    }

    // Half of the announced time leaves room for the way of the next request.
    private static long maxIdleNanos(OutboundConnection connection) {
        return connection
                .announcedIdleMillis()
                .map(millis -> Math.min(MAX_IDLE_NANOS, TimeUnit.MILLISECONDS.toNanos(millis) / 2))
                .orElse(MAX_IDLE_NANOS);
    }

    /** One call under way. */
    private final class Call implements OutboundExchange {
        private final String mWhat;
        private final OutboundConnection mConnection;
        private final CompletableFuture<HttpReply> mReply;
        private final ByteBuf mBody = Unpooled.buffer();
        private HttpResponse mHead;
        private ScheduledFuture<?> mTimer;

        private Call(
                String what, OutboundConnection connection, CompletableFuture<HttpReply> reply) {
            mWhat = what;
            mConnection = connection;
            mReply = reply;
        }

        private void expire() {
            mConnection.close();
            mReply.completeExceptionally(
                    new HttpCallException(mWhat + " was not answered in time", true));
        }

        @Override
        public boolean onHead(HttpResponse head) {
            mHead = head;
            return true;
        }

        @Override
        public void onContent(ByteBuf part) {
            mBody.writeBytes(part);
        }

        @Override
        public void onEnd() {
            mTimer.cancel(false);
            if (mConnection.isReusable()) {
                mIdle.addLast(mConnection);
            }
            mReply.complete(new HttpReply(mHead.status().code(), mHead.headers(), mBody));
        }

        @Override
        public void onFailure(OutboundFailure failure) {
            mTimer.cancel(false);
            mReply.completeExceptionally(
                    new HttpCallException(
                            mWhat + " to " + mHost + " failed: " + failure, failure.mayHaveRun()));
        }
    }
}
