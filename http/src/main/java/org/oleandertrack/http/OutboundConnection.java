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
 * A connection to a server with at most one exchange at a time. Bytes that arrive without an
 * exchange close it, since they belong to no request. Confined to its event loop.
 */
public final class OutboundConnection extends ChannelInboundHandlerAdapter {

    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final int MAX_CHUNK_BYTES = 64 * 1024;
    // A server that answers early reads the rest of the body later; this bounds the wait for it.
    private static final long UNSENT_BODY_MILLIS = 5_000;

    private final Runnable mOnClosed;
    private final AnswerDecoder mDecoder = new AnswerDecoder();
    private Channel mChannel;
    private OutboundExchange mExchange;
    private HttpRequest mWaitingHead;
    private ByteBuf mWaitingBody;
    private ChannelFuture mRequestWritten;
    private OutboundFailure mFailure;
    private boolean mSkipping;
    private boolean mReusable = true;
    private boolean mClosed;
    private long mIdleSinceNanos;
    private Optional<Long> mAnnouncedIdleMillis = Optional.empty();

    private OutboundConnection(Runnable onClosed) {
        mOnClosed = onClosed;
    }

    // Life-cycle

    /**
     * Starts to open a connection. An exchange may be started before it is open.
     *
     * @param onClosed called once when the connection has closed or could not be opened
     */
    public static OutboundConnection open(
            EventLoop loop, InetSocketAddress remote, int connectTimeoutMillis, Runnable onClosed) {
        OutboundConnection connection = new OutboundConnection(onClosed);
        ChannelFuture connected =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
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
                                })
                        .connect(remote);
        connection.mChannel = connected.channel();
        connected.addListener(done -> connection.connectEnded(done.cause()));
        return connection;
    }

    /** Closes the connection; an exchange under way hears nothing more. */
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

    /** Returns the monotonic time at which the last exchange ended. */
    public long idleSinceNanos() {
        return mIdleSinceNanos;
    }

    /** Returns how long the server keeps an idle connection open, if it has said so. */
    public Optional<Long> announcedIdleMillis() {
        return mAnnouncedIdleMillis;
    }

    // Operations

    /**
     * Starts an exchange.
     *
     * @param body the whole body; ownership passes to the connection
     * @throws IllegalStateException if an exchange is under way
     */
    public void send(HttpRequest head, ByteBuf body, OutboundExchange exchange) {
        if (mExchange != null) {
            throw new IllegalStateException("an exchange is under way");
        }
        mExchange = exchange;
        mSkipping = false;
        mRequestWritten = null;
        mDecoder.mHeadRequested = head.method().equals(HttpMethod.HEAD);
        if (mClosed) {
            body.release();
            mChannel.eventLoop().execute(() -> fail(OutboundFailure.NOT_SENT));
            return;
        }
        if (mChannel.isActive()) {
            write(head, body);
            return;
        }
        mWaitingHead = head;
        mWaitingBody = body;
    }

    /** Suspends or resumes reading, to pass the pressure of a slow reader back to the server. */
    public void setReading(boolean reading) {
        mChannel.config().setAutoRead(reading);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (mWaitingHead == null) {
            return;
        }
        HttpRequest head = mWaitingHead;
        ByteBuf body = mWaitingBody;
        mWaitingHead = null;
        mWaitingBody = null;
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
                mReusable = false;
                var _ = mChannel.close();
                return;
            }
            if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
                broken(OutboundFailure.MALFORMED);
                return;
            }
            if (message instanceof HttpResponse head) {
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
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        Logger.debug("connection to {} failed: {}", mChannel.remoteAddress(), cause.toString());
        broken(OutboundFailure.RESET);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closed(OutboundFailure.CLOSED);
    }

    // Helpers

    private void connectEnded(Throwable cause) {
        if (cause == null) {
            return;
        }
        closed(
                cause instanceof ConnectTimeoutException
                        ? OutboundFailure.CONNECT_TIMEOUT
                        : OutboundFailure.CONNECT_REFUSED);
    }

    private void write(HttpRequest head, ByteBuf body) {
        var _ = mChannel.write(head);
        mRequestWritten = mChannel.writeAndFlush(new DefaultLastHttpContent(body));
    }

    private void acceptHead(HttpResponse head) {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            mSkipping = true;
            return;
        }
        if (!HttpUtil.isKeepAlive(head)) {
            mReusable = false;
        }
        KeepAliveHeader.timeoutMillis(head.headers())
                .ifPresent(millis -> mAnnouncedIdleMillis = Optional.of(millis));
        if (mExchange.onHead(head)) {
            return;
        }
        // The next response follows on the same connection, but the connection is not trusted
        // afterwards.
        mReusable = false;
        mSkipping = true;
    }

    private void acceptContent(HttpContent part) {
        boolean last = part instanceof LastHttpContent;
        if (mSkipping) {
            mSkipping = !last;
            return;
        }
        if (mExchange == null) {
            return;
        }
        if (part.content().isReadable()) {
            mExchange.onContent(part.content());
        }
        if (last && mExchange != null) {
            finish();
        }
    }

    private void finish() {
        OutboundExchange exchange = mExchange;
        mExchange = null;
        mIdleSinceNanos = System.nanoTime();
        if (!mRequestWritten.isDone()) {
            mReusable = false;
            mRequestWritten.addListener(ChannelFutureListener.CLOSE);
            var _ =
                    mChannel.eventLoop()
                            .schedule(
                                    this::closeChannel, UNSENT_BODY_MILLIS, TimeUnit.MILLISECONDS);
        } else if (!mReusable) {
            closeChannel();
        }
        exchange.onEnd();
    }

    private void broken(OutboundFailure failure) {
        mReusable = false;
        if (mFailure == null) {
            mFailure = failure;
        }
        fail(mRequestWritten == null ? OutboundFailure.NOT_SENT : mFailure);
        var _ = mChannel.close();
    }

    private void closed(OutboundFailure failure) {
        if (mClosed) {
            return;
        }
        mClosed = true;
        mReusable = false;
        if (mWaitingBody != null) {
            mWaitingBody.release();
            mWaitingBody = null;
            mWaitingHead = null;
        }
        OutboundFailure reason = failure;
        if (failure.mayHaveRun() && mRequestWritten == null) {
            reason = OutboundFailure.NOT_SENT;
        }
        fail(reason);
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

    /** Knows that the response to a HEAD request has no body. */
    private static final class AnswerDecoder extends HttpResponseDecoder {
        private boolean mHeadRequested;

        private AnswerDecoder() {
            super(
                    new HttpDecoderConfig()
                            .setMaxHeaderSize(MAX_HEADER_BYTES)
                            .setMaxChunkSize(MAX_CHUNK_BYTES));
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return mHeadRequested || super.isContentAlwaysEmpty(message);
        }
    }
}
