package org.oleandertrack.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
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
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * One connection of a client. Requests are read whole and handled one at a time; a request that
 * arrives during an exchange waits. Confined to the connection's event loop.
 */
final class InboundConnection extends ChannelInboundHandlerAdapter {

    // Decoded messages kept for later exchanges before reading pauses. A client that waits for each
    // answer never has more than one request outstanding.
    private static final int MAX_PENDING_MESSAGES = 64;

    private final HttpServer mServer;
    private final ArrayDeque<Object> mPending = new ArrayDeque<>();
    private ChannelHandlerContext mContext;
    private HttpRequest mHead;
    private CompositeByteBuf mBody;
    private Exchange mExchange;
    private boolean mDiscardInput;
    private boolean mBytesSinceIdle;
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
        mServer.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mServer.closed(this);
        mPending.forEach(ReferenceCountUtil::release);
        mPending.clear();
        releaseBody();
        Exchange exchange = mExchange;
        mExchange = null;
        if (exchange != null) {
            exchange.closed();
        }
    }

    // Accessors

    boolean hasExchange() {
        return mExchange != null;
    }

    boolean isIdle() {
        return mExchange == null && mHead == null && !mBytesSinceIdle;
    }

    void close() {
        var _ = mContext.close();
    }

    void closeIfIdle() {
        if (isIdle()) {
            close();
        }
    }

    /** Runs a task on the connection's event loop, at once if called there. */
    void onLoop(Runnable task) {
        EventLoop loop = mContext.channel().eventLoop();
        if (loop.inEventLoop()) {
            task.run();
            return;
        }
        loop.execute(task);
    }

    // Operations

    /** Records the arrival of bytes before they are decoded. */
    void bytesArrived() {
        mLastActivityNanos = System.nanoTime();
        if (!mBytesSinceIdle) {
            mBytesSinceIdle = true;
            mFirstByteNanos = mLastActivityNanos;
        }
    }

    /** Closes the connection if the client takes longer than the limits allow. */
    void enforceTimeouts(InboundLimits limits, long nowNanos) {
        if (mExchange != null || mDiscardInput) {
            return;
        }
        long quietMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - mLastActivityNanos);
        if (mHead == null && !mBytesSinceIdle) {
            if (quietMillis > limits.idleTimeoutMillis()) {
                var _ = mContext.close();
            }
            return;
        }
        long takenMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - mFirstByteNanos);
        boolean headLate = mHead == null && takenMillis > limits.headerTimeoutMillis();
        if (headLate || quietMillis > limits.idleTimeoutMillis()) {
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
            mPending.add(message);
            if (mPending.size() > MAX_PENDING_MESSAGES) {
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
        // A client that resets its connection is ordinary; the exchange is told by channelInactive.
        Logger.debug("client connection failed: {}", cause.toString());
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
            reject(statusOf(head.decoderResult().cause()));
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
        mBytesSinceIdle = false;
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
        // Reading was suspended only if messages are pending.
        while (mExchange == null && !mDiscardInput && !mPending.isEmpty()) {
            bytesArrived();
            accept(mPending.poll());
        }
        if (mPending.size() < MAX_PENDING_MESSAGES) {
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
        FullHttpResponse response = mServer.rejection(status);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        mContext.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private static HttpResponseStatus statusOf(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        if (cause instanceof TooLongHttpLineException) {
            return HttpResponseStatus.REQUEST_URI_TOO_LONG;
        }
        return HttpResponseStatus.BAD_REQUEST;
    }

    // A request with two lengths may be cut differently by the next server.
    private static boolean hasAmbiguousLength(HttpHeaders headers) {
        int lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size();
        int encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING).size();
        return lengths + encodings > 1;
    }

    /** The exchange of one request and its response. */
    private final class Exchange implements ResponseWriter {
        private final boolean mKeepAlive;
        private Listener mListener;
        private boolean mStarted;
        private boolean mCloses;
        private boolean mEnded;

        private Exchange(boolean keepAlive) {
            mKeepAlive = keepAlive;
        }

        private void closed() {
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
            prepare(response);
            finish(response);
        }

        @Override
        public void start(HttpResponse head) {
            if (mEnded) {
                return;
            }
            mStarted = true;
            prepare(head);
            var _ = mContext.write(head);
        }

        @Override
        public void write(ByteBuf part) {
            if (mEnded) {
                part.release();
                return;
            }
            var _ = mContext.writeAndFlush(new DefaultHttpContent(part));
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
                // Sends what is queued first, so that the events already written arrive.
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

        private void prepare(HttpResponse head) {
            mCloses = !mKeepAlive || mServer.isDraining();
            if (mCloses) {
                head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
        }

        private void finish(Object last) {
            mEnded = true;
            var written = mContext.writeAndFlush(last);
            if (mCloses) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
            endExchange(mCloses);
        }
    }
}
