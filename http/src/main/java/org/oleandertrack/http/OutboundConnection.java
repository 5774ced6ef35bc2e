package org.oleandertrack.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * A connection to a server, with at most one exchange at a time. If bytes arrive outside of an
 * exchange, even a part of a message, the connection is closed, because they belong to no request
 * and would be decoded together with the next response. Confined to its event loop.
 */
public final class OutboundConnection extends ChannelInboundHandlerAdapter {

    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final int MAX_CHUNK_BYTES = 64 * 1024;
    // Time to send the rest of a request body after the response is already complete.
    private static final long UNSENT_BODY_TIMEOUT_MILLIS = 5_000;

    private final Runnable mOnClosed;
    private final ResponseDecoder mDecoder = new ResponseDecoder(this::onBytes);
    private Channel mChannel;
    private OutboundExchange mExchange;
    private HttpRequest mQueuedHead;
    private ByteBuf mQueuedBody;
    private ChannelFuture mRequestWritten;
    private OutboundFailure mFirstFailure;
    private boolean mSkippingResponse;
    private boolean mReusable = true;
    private boolean mHasUnexpectedBytes;
    private int mExchangeCount;
    private boolean mClosed;
    private long mIdleSinceNanos;
    private Optional<Long> mAnnouncedIdleTimeoutMillis = Optional.empty();

    private OutboundConnection(Runnable onClosed) {
        mOnClosed = onClosed;
    }

    // Life-cycle

    /**
     * Starts to open a connection. An exchange may be started before the connection is open.
     *
     * @param onClosed called once when the connection has closed or could not be opened
     */
    public static OutboundConnection open(
            EventLoop loop, InetSocketAddress remote, int connectTimeoutMillis, Runnable onClosed) {
        return open(loop, remote, connectTimeoutMillis, ReadLimits.SINGLE_READ, onClosed);
    }

    /** Starts to open a connection with the given limits on what is read from it in one turn. */
    static OutboundConnection open(
            EventLoop loop,
            InetSocketAddress remote,
            int connectTimeoutMillis,
            ReadLimits limits,
            Runnable onClosed) {
        OutboundConnection connection = new OutboundConnection(onClosed);
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.RECVBUF_ALLOCATOR, limits.allocator())
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(connection.mDecoder)
                                                .addLast(new HttpRequestEncoder())
                                                .addLast(connection);
                                    }
                                });
        limits.receiveBufferBytes()
                .ifPresent(bytes -> bootstrap.option(ChannelOption.SO_RCVBUF, bytes));
        ChannelFuture connected = bootstrap.connect(remote);
        connection.mChannel = connected.channel();
        connected.addListener(done -> connection.onConnectDone(done.cause()));
        return connection;
    }

    /**
     * Closes the connection, unless another exchange uses it by now. The exchange is not notified.
     */
    public void cancel(OutboundExchange exchange) {
        if (exchange.equals(mExchange)) {
            close();
        }
    }

    /** Closes the connection. An exchange in progress is not notified. */
    public void close() {
        mExchange = null;
        mReusable = false;
        var _ = mChannel.close();
    }

    // Accessors

    /** Returns whether another exchange can be started now. */
    public boolean isReusable() {
        return mReusable && !mClosed && mExchange == null && mChannel.isActive();
    }

    /** Returns whether the connection has carried an exchange before the current or last one. */
    public boolean isReused() {
        return mExchangeCount > 1;
    }

    /** Returns when the last exchange ended, as {@link System#nanoTime}. */
    public long idleSinceNanos() {
        return mIdleSinceNanos;
    }

    /** Returns the server's idle timeout, if it has announced it in {@code Keep-Alive}. */
    public Optional<Long> announcedIdleTimeoutMillis() {
        return mAnnouncedIdleTimeoutMillis;
    }

    // Operations

    /**
     * Starts an exchange.
     *
     * @param body the complete body; ownership passes to the connection
     * @throws IllegalStateException if an exchange is in progress
     */
    public void send(HttpRequest head, ByteBuf body, OutboundExchange exchange) {
        if (mExchange != null) {
            throw new IllegalStateException(
                    "an exchange is already in progress on this connection");
        }
        mExchange = exchange;
        mExchangeCount++;
        mSkippingResponse = false;
        mRequestWritten = null;
        mDecoder.mIsHeadRequest = head.method().equals(HttpMethod.HEAD);
        if (mClosed) {
            body.release();
            mChannel.eventLoop().execute(() -> fail(OutboundFailure.NOT_SENT));
            return;
        }
        if (mChannel.isActive()) {
            write(head, body);
            return;
        }
        mQueuedHead = head;
        mQueuedBody = body;
    }

    /**
     * Suspends or resumes reading, to apply the back-pressure of a slow caller to the server. Has
     * no effect if another exchange uses the connection by now.
     */
    public void setReading(OutboundExchange exchange, boolean reading) {
        if (exchange.equals(mExchange)) {
            setReading(reading);
        }
    }

    private void setReading(boolean reading) {
        mChannel.config().setAutoRead(reading);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (mQueuedHead == null) {
            return;
        }
        HttpRequest head = mQueuedHead;
        ByteBuf body = mQueuedBody;
        mQueuedHead = null;
        mQueuedBody = null;
        if (mExchange == null) {
            body.release();
            return;
        }
        write(head, body);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (mExchange == null) {
                rejectUnexpectedBytes();
                logUnexpected(message);
                var _ = mChannel.close();
                return;
            }
            if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
                failAndClose(OutboundFailure.MALFORMED);
                return;
            }
            if (message instanceof HttpResponse head) {
                if (!ResponseHeads.isValid(head)) {
                    failAndClose(OutboundFailure.MALFORMED);
                    return;
                }
                acceptHead(head);
            }
            if (message instanceof HttpContent part) {
                acceptContent(part);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (mExchange != null) {
            mExchange.onReadComplete();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        Logger.debug("connection to {} failed: {}", mChannel.remoteAddress(), cause.toString());
        failAndClose(OutboundFailure.RESET);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        handleClosed(OutboundFailure.CLOSED);
    }

    // Helpers

    private void onConnectDone(Throwable cause) {
        if (cause == null) {
            return;
        }
        handleClosed(
                cause instanceof ConnectTimeoutException
                        ? OutboundFailure.CONNECT_TIMEOUT
                        : OutboundFailure.CONNECT_REFUSED);
    }

    private void write(HttpRequest head, ByteBuf body) {
        var _ = mChannel.write(head);
        mRequestWritten = mChannel.writeAndFlush(new DefaultLastHttpContent(body));
    }

    // A connection that is closed with bytes on their way may still bring some.
    private void logUnexpected(Object message) {
        if (mHasUnexpectedBytes && message instanceof HttpResponse head) {
            mHasUnexpectedBytes = false;
            Logger.info(
                    "connection to {} closed: a response with status {} answers no request",
                    mChannel.remoteAddress(),
                    head.status().code());
        }
    }

    private void rejectUnexpectedBytes() {
        if (mReusable) {
            Logger.info(
                    "connection to {} closed: bytes belong to no request",
                    mChannel.remoteAddress());
            mHasUnexpectedBytes = true;
        }
        mReusable = false;
    }

    private void onBytes() {
        if (mExchange == null) {
            rejectUnexpectedBytes();
            var _ = mChannel.close();
        }
    }

    private void acceptHead(HttpResponse head) {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            mSkippingResponse = true;
            return;
        }
        if (!HttpUtil.isKeepAlive(head)) {
            mReusable = false;
        }
        KeepAliveHeader.timeoutMillis(head.headers())
                .ifPresent(millis -> mAnnouncedIdleTimeoutMillis = Optional.of(millis));
        if (mExchange.onHead(head)) {
            return;
        }
        // The response to this request may still follow, but afterwards the connection is not
        // reused: responses on it can no longer be matched to requests reliably.
        mReusable = false;
        mSkippingResponse = true;
    }

    private void acceptContent(HttpContent part) {
        boolean last = part instanceof LastHttpContent;
        if (mSkippingResponse) {
            mSkippingResponse = !last;
            return;
        }
        if (mExchange == null) {
            return;
        }
        if (part.content().isReadable()) {
            mExchange.onContent(part.content());
        }
        if (last && mExchange != null) {
            // The decoder ends a response without length when the connection closes, for whatever
            // reason. After a failed write the server has not ended it.
            if (hasWriteFailed()) {
                failAndClose(OutboundFailure.RESET);
                return;
            }
            finish();
        }
    }

    private boolean hasWriteFailed() {
        return mRequestWritten.isDone() && !mRequestWritten.isSuccess();
    }

    private void finish() {
        OutboundExchange exchange = mExchange;
        mExchange = null;
        mIdleSinceNanos = System.nanoTime();
        if (mDecoder.hasUndecodedBytes()) {
            rejectUnexpectedBytes();
        }
        // A slow caller concerns its own exchange only.
        setReading(true);
        if (!mRequestWritten.isDone()) {
            mReusable = false;
            mRequestWritten.addListener(ChannelFutureListener.CLOSE);
            var _ =
                    mChannel.eventLoop()
                            .schedule(
                                    this::closeChannel,
                                    UNSENT_BODY_TIMEOUT_MILLIS,
                                    TimeUnit.MILLISECONDS);
        } else if (!mReusable) {
            closeChannel();
        }
        exchange.onEnd();
    }

    private void failAndClose(OutboundFailure failure) {
        mReusable = false;
        if (mFirstFailure == null) {
            mFirstFailure = failure;
        }
        fail(mRequestWritten == null ? OutboundFailure.NOT_SENT : mFirstFailure);
        var _ = mChannel.close();
    }

    private void handleClosed(OutboundFailure failure) {
        if (mClosed) {
            return;
        }
        mClosed = true;
        mReusable = false;
        if (mQueuedBody != null) {
            mQueuedBody.release();
            mQueuedBody = null;
            mQueuedHead = null;
        }
        OutboundFailure effectiveFailure = failure;
        if (failure.mayHaveRun() && mRequestWritten == null) {
            effectiveFailure = OutboundFailure.NOT_SENT;
        }
        fail(effectiveFailure);
        mOnClosed.run();
    }

    private void closeChannel() {
        var _ = mChannel.close();
    }

    private void fail(OutboundFailure failure) {
        OutboundExchange exchange = mExchange;
        mExchange = null;
        if (exchange != null) {
            exchange.onFailure(failure);
        }
    }

    /** Decodes responses, knowing that the response to a HEAD request has no body. */
    private static final class ResponseDecoder extends HttpResponseDecoder {
        private final Runnable mOnBytes;
        private boolean mIsHeadRequest;

        private ResponseDecoder(Runnable onBytes) {
            super(
                    LimitedHeaders.configure(
                            new HttpDecoderConfig()
                                    .setMaxHeaderSize(MAX_HEADER_BYTES)
                                    .setMaxChunkSize(MAX_CHUNK_BYTES)));
            mOnBytes = onBytes;
        }

        private boolean hasUndecodedBytes() {
            return actualReadableBytes() > 0;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            mOnBytes.run();
            super.channelRead(context, message);
        }

        @Override
        protected HttpMessage createMessage(String[] initialLine) {
            ResponseHeads.checkStatus(initialLine[1]);
            return super.createMessage(initialLine);
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return mIsHeadRequest || super.isContentAlwaysEmpty(message);
        }
    }
}
