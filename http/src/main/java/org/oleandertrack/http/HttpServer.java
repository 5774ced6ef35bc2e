package org.oleandertrack.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * HTTP server on one address that passes complete requests to a handler. Thread-safe; each
 * connection is confined to its event loop.
 */
public final class HttpServer {

    // The timeouts of connections are whole seconds, so checking them four times per second is
    // precise enough.
    private static final long TIMEOUT_CHECK_MILLIS = 250;
    private static final int MAX_CHUNK_BYTES = 64 * 1024;
    private static final int ACCEPT_BACKLOG = 1_024;

    private final EventLoopGroup mLoops;
    private final Supplier<InboundLimits> mLimits;
    private final InboundHandler mHandler;
    private final Function<HttpResponseStatus, FullHttpResponse> mRejectionFactory;
    private final Set<InboundConnection> mConnections = ConcurrentHashMap.newKeySet();
    private volatile boolean mDraining;
    private volatile Channel mListener;
    private volatile ScheduledFuture<?> mTimeoutCheck;

    // Life-cycle

    /**
     * Creates a server that is not started.
     *
     * @param limits returns the current limits; called at each use
     * @param rejectionFactory creates the response to a request that the server itself rejects with
     *     a status, without calling the handler
     */
    public HttpServer(
            EventLoopGroup loops,
            Supplier<InboundLimits> limits,
            InboundHandler handler,
            Function<HttpResponseStatus, FullHttpResponse> rejectionFactory) {
        mLoops = loops;
        mLimits = limits;
        mHandler = handler;
        mRejectionFactory = rejectionFactory;
    }

    /**
     * Binds an address and accepts connections.
     *
     * @return the bound address, with the actual port if port 0 was given
     * @throws RuntimeException if the address cannot be bound
     */
    public InetSocketAddress start(InetSocketAddress address) {
        mListener =
                new ServerBootstrap()
                        .group(mLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(
                                ChannelOption.RECVBUF_ALLOCATOR, ReadLimits.SINGLE_READ.allocator())
                        .childHandler(new Initializer())
                        .bind(address)
                        .syncUninterruptibly()
                        .channel();
        mTimeoutCheck =
                mLoops.next()
                        .scheduleWithFixedDelay(
                                this::enforceTimeouts,
                                TIMEOUT_CHECK_MILLIS,
                                TIMEOUT_CHECK_MILLIS,
                                TimeUnit.MILLISECONDS);
        return (InetSocketAddress) mListener.localAddress();
    }

    /** From now on, closes each connection after its next response. Idle connections stay open. */
    public void drain() {
        mDraining = true;
    }

    /**
     * Closes the connections that have no exchange, no partly received request and no partly
     * written response.
     */
    public void closeIdle() {
        mConnections.forEach(connection -> connection.runOnLoop(connection::closeIfIdle));
    }

    /**
     * Stops listening, asks the handler to end the exchanges in progress, rejects partly received
     * requests, and closes each connection once its last response is written.
     */
    public void shutDown() {
        mDraining = true;
        if (mListener != null) {
            mListener.close().syncUninterruptibly();
        }
        mConnections.forEach(connection -> connection.runOnLoop(connection::shutDown));
    }

    /** Stops listening and closes all connections, including those with an exchange in progress. */
    public void stop() {
        if (mTimeoutCheck != null) {
            mTimeoutCheck.cancel(false);
        }
        if (mListener != null) {
            mListener.close().syncUninterruptibly();
        }
        mConnections.forEach(InboundConnection::close);
    }

    // Accessors

    /** Returns the number of open connections. */
    public int connectionCount() {
        return mConnections.size();
    }

    /**
     * Returns the number of connections that have an exchange, a partly received request or a
     * partly written response.
     */
    public int busyConnectionCount() {
        return (int) mConnections.stream().filter(connection -> !connection.isIdle()).count();
    }

    boolean isDraining() {
        return mDraining;
    }

    InboundLimits limits() {
        return mLimits.get();
    }

    InboundHandler handler() {
        return mHandler;
    }

    // Operations

    void addConnection(InboundConnection connection) {
        mConnections.add(connection);
    }

    void removeConnection(InboundConnection connection) {
        mConnections.remove(connection);
    }

    FullHttpResponse makeRejection(HttpResponseStatus status) {
        return mRejectionFactory.apply(status);
    }

    private void enforceTimeouts() {
        long nowNanos = System.nanoTime();
        InboundLimits limits = mLimits.get();
        for (InboundConnection connection : mConnections) {
            connection.runOnLoop(() -> connection.enforceTimeouts(limits, nowNanos));
        }
    }

    /** Sets up the pipeline of a connection. */
    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            InboundConnection connection = new InboundConnection(HttpServer.this);
            HttpDecoderConfig config =
                    LimitedHeaders.configure(
                            new HttpDecoderConfig()
                                    .setMaxInitialLineLength(mLimits.get().maxHeaderBytes())
                                    .setMaxHeaderSize(mLimits.get().maxHeaderBytes())
                                    .setMaxChunkSize(MAX_CHUNK_BYTES));
            channel.pipeline()
                    .addLast(new ArrivalRecorder(connection))
                    .addLast(new HttpServerCodec(config))
                    .addLast(connection);
        }
    }

    /** Reports received bytes to the connection before they are decoded. */
    private static final class ArrivalRecorder extends ChannelInboundHandlerAdapter {
        private final InboundConnection mConnection;

        private ArrivalRecorder(InboundConnection connection) {
            mConnection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            mConnection.recordBytesReceived();
            context.fireChannelRead(message);
        }
    }
}
