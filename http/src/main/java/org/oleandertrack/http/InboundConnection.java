package org.oleandertrack.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.EncoderException;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * A connection of a client. Each request is received completely before it is handled, and requests
 * are handled one at a time; one that arrives during an exchange is queued. Confined to the
 * connection's event loop.
 */
final class InboundConnection extends ChannelInboundHandlerAdapter {

    // Decoded message parts that are queued during an exchange before reading is suspended. Only a
    // client that sends requests without waiting for the responses can reach this limit.
    private static final int MAX_QUEUED_PARTS = 64;

    private final HttpServer mServer;
    private final ArrayDeque<Object> mQueuedParts = new ArrayDeque<>();
    private ChannelHandlerContext mContext;
    private HttpRequest mHead;
    private CompositeByteBuf mBody;
    private Exchange mExchange;
    private boolean mDiscardInput;
    private boolean mRequestBegun;
    private long mFirstByteNanos;
    private long mLastActivityNanos = System.nanoTime();

    InboundConnection(HttpServer server) {
        mServer = server;
    }

    // Life-cycle

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mServer.addConnection(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mServer.removeConnection(this);
        mQueuedParts.forEach(ReferenceCountUtil::release);
        mQueuedParts.clear();
        releaseBody();
        Exchange exchange = mExchange;
        mExchange = null;
        if (exchange != null) {
            exchange.notifyClosed();
        }
    }

    // Accessors

    boolean hasExchange() {
        return mExchange != null;
    }

    boolean isIdle() {
        return mExchange == null && mHead == null && !mRequestBegun;
    }

    void close() {
        var _ = mContext.close();
    }

    void closeIfIdle() {
        if (isIdle()) {
            close();
        }
    }

    /** Runs a task on the connection's event loop: immediately if called on it, otherwise later. */
    void runOnLoop(Runnable task) {
        EventLoop loop = mContext.channel().eventLoop();
        if (loop.inEventLoop()) {
            task.run();
            return;
        }
        loop.execute(task);
    }

    // Operations

    /** Records that bytes were received. Called before they are decoded. */
    void recordBytesReceived() {
        mLastActivityNanos = System.nanoTime();
        if (!mRequestBegun) {
            mRequestBegun = true;
            mFirstByteNanos = mLastActivityNanos;
        }
    }

    /** Closes the connection if the client has exceeded one of the time limits. */
    void enforceTimeouts(InboundLimits limits, long nowNanos) {
        if (mExchange != null || mDiscardInput) {
            return;
        }
        long silentMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - mLastActivityNanos);
        if (mHead == null && !mRequestBegun) {
            if (silentMillis > limits.idleTimeoutMillis()) {
                var _ = mContext.close();
            }
            return;
        }
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - mFirstByteNanos);
        boolean headTimedOut = mHead == null && elapsedMillis > limits.headerTimeoutMillis();
        if (headTimedOut || silentMillis > limits.idleTimeoutMillis()) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mDiscardInput) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (mExchange != null) {
            mQueuedParts.add(message);
            if (mQueuedParts.size() > MAX_QUEUED_PARTS) {
                context.channel().config().setAutoRead(false);
            }
            return;
        }
        accept(message);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (mExchange != null && mExchange.mListener != null) {
            mExchange.mListener.onWritabilityChanged(context.channel().isWritable());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // Resets by clients are common. channelInactive notifies the exchange.
        if (cause instanceof IOException) {
            Logger.debug("client connection failed: {}", cause.toString());
        } else {
            Logger.error(cause, "request failed unexpectedly; its connection is closed");
        }
        var _ = context.close();
    }

    // Helpers

    private void accept(Object message) {
        if (message instanceof HttpRequest head) {
            acceptHead(head);
        }
        if (mHead != null && message instanceof HttpContent content) {
            acceptContent(content);
        }
        ReferenceCountUtil.release(message);
    }

    private void acceptHead(HttpRequest head) {
        if (head.decoderResult().isFailure()) {
            reject(statusFor(head.decoderResult().cause()));
            return;
        }
        if (hasAmbiguousLength(head.headers())) {
            reject(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        mHead = head;
        mBody = Unpooled.compositeBuffer();
        if (HttpUtil.getContentLength(head, 0L) > mServer.limits().maxBodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (HttpUtil.is100ContinueExpected(head)) {
            var _ = mContext.writeAndFlush(HttpResponses.continueResponse());
        }
    }

    private void acceptContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            reject(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        if (mBody.readableBytes() + content.content().readableBytes()
                > mServer.limits().maxBodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (content.content().isReadable()) {
            mBody.addComponent(true, content.content().retain());
        }
        if (content instanceof LastHttpContent) {
            startExchange();
        }
    }

    private void startExchange() {
        InboundRequest request =
                new InboundRequest(
                        mHead,
                        mBody,
                        mFirstByteNanos,
                        (InetSocketAddress) mContext.channel().remoteAddress());
        boolean keepAlive = HttpUtil.isKeepAlive(mHead);
        mHead = null;
        mRequestBegun = false;
        mExchange = new Exchange(keepAlive);
        mServer.handler().handle(request, mExchange);
    }

    private void endExchange(boolean close) {
        mExchange = null;
        mLastActivityNanos = System.nanoTime();
        releaseBody();
        if (close) {
            mDiscardInput = true;
            return;
        }
        // Handles the parts that were queued during the exchange, up to the next complete request.
        while (mExchange == null && !mDiscardInput && !mQueuedParts.isEmpty()) {
            recordBytesReceived();
            accept(mQueuedParts.poll());
        }
        // Reading is suspended only while parts are queued, so this is where it can be resumed.
        if (mQueuedParts.size() < MAX_QUEUED_PARTS) {
            mContext.channel().config().setAutoRead(true);
        }
    }

    private void releaseBody() {
        if (mBody != null) {
            mBody.release();
            mBody = null;
        }
    }

    private void reject(HttpResponseStatus status) {
        mHead = null;
        releaseBody();
        mDiscardInput = true;
        FullHttpResponse response = mServer.makeRejection(status);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        mContext.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private static HttpResponseStatus statusFor(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        if (cause instanceof TooLongHttpLineException) {
            return HttpResponseStatus.REQUEST_URI_TOO_LONG;
        }
        return HttpResponseStatus.BAD_REQUEST;
    }

    // The next server may determine another length for such a request (request smuggling).
    private static boolean hasAmbiguousLength(HttpHeaders headers) {
        int lengthHeaderCount = headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size();
        int encodingHeaderCount = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING).size();
        return lengthHeaderCount + encodingHeaderCount > 1;
    }

    /** The exchange of a request and its response. */
    private final class Exchange implements ResponseWriter {
        private final boolean mKeepAlive;
        private Listener mListener;
        private boolean mStarted;
        private boolean mCloseAfterResponse;
        private boolean mEnded;

        private Exchange(boolean keepAlive) {
            mKeepAlive = keepAlive;
        }

        private void notifyClosed() {
            mEnded = true;
            if (mListener != null) {
                mListener.onClosed();
            }
        }

        @Override
        public void setListener(Listener listener) {
            mListener = listener;
        }

        @Override
        public void respond(FullHttpResponse response) {
            if (mEnded) {
                response.release();
                return;
            }
            if (mStarted) {
                response.release();
                abortSecondHead(response);
                return;
            }
            prepare(response);
            finish(response);
        }

        @Override
        public void start(HttpResponse head) {
            if (mEnded) {
                return;
            }
            if (mStarted) {
                abortSecondHead(head);
                return;
            }
            mStarted = true;
            prepare(head);
            logIfFailed(mContext.write(head));
        }

        @Override
        public void write(ByteBuf part) {
            if (mEnded) {
                part.release();
                return;
            }
            logIfFailed(mContext.writeAndFlush(new DefaultHttpContent(part)));
        }

        @Override
        public void end() {
            if (!mEnded) {
                finish(LastHttpContent.EMPTY_LAST_CONTENT);
            }
        }

        @Override
        public void abort() {
            if (mEnded) {
                return;
            }
            mEnded = true;
            if (mStarted) {
                // Flushes queued data before closing, so that the client receives all written
                // events.
                mContext.writeAndFlush(Unpooled.EMPTY_BUFFER)
                        .addListener(ChannelFutureListener.CLOSE);
            } else {
                var _ = mContext.close();
            }
            endExchange(true);
        }

        @Override
        public boolean isWritable() {
            return mContext.channel().isWritable();
        }

        @Override
        public boolean isOpen() {
            return !mEnded && mContext.channel().isActive();
        }

        @Override
        public EventLoop eventLoop() {
            return mContext.channel().eventLoop();
        }

        private void abortSecondHead(HttpResponse head) {
            Logger.error(
                    "response broken off: a second head with status {} follows a started response",
                    head.status().code());
            abort();
        }

        private void prepare(HttpResponse head) {
            mCloseAfterResponse = !mKeepAlive || mServer.isDraining();
            if (mCloseAfterResponse) {
                head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
        }

        // Without this, a part that the encoder refuses would be dropped unseen.
        private void logIfFailed(ChannelFuture write) {
            write.addListener(
                    done -> {
                        if (done.cause() instanceof EncoderException failure) {
                            Logger.error(failure, "part of a response could not be written");
                        }
                    });
        }

        private void finish(Object last) {
            mEnded = true;
            ChannelFuture written = mContext.writeAndFlush(last);
            logIfFailed(written);
            if (mCloseAfterResponse) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
            endExchange(mCloseAfterResponse);
        }
    }
}
