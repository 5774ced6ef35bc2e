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
 * Listens on one address and hands whole requests to a handler. Thread-safe; connections are
 * confined to their event loops.
 */
public final class HttpServer {

    // Time-outs of clients are whole seconds; a sweep each quarter of a second is fine enough.
    private static final long SWEEP_MILLIS = 250;
    private static final int MAX_CHUNK_BYTES = 64 * 1024;
    private static final int ACCEPT_BACKLOG = 1_024;

    private final EventLoopGroup mLoops;
    private final Supplier<InboundLimits> mLimits;
    private final InboundHandler mHandler;
    private final Function<HttpResponseStatus, FullHttpResponse> mRejections;
    private final Set<InboundConnection> mConnections = ConcurrentHashMap.newKeySet();
    private volatile boolean mDraining;
    private volatile Channel mListener;
    private volatile ScheduledFuture<?> mSweep;

    // Life-cycle

    /**
     * Creates a server that does not listen yet.
     *
     * @param limits current limits, asked for at each use
     * @param rejections makes the response to a request that the server itself rejects
     */
    public HttpServer(
            EventLoopGroup loops,
            Supplier<InboundLimits> limits,
            InboundHandler handler,
            Function<HttpResponseStatus, FullHttpResponse> rejections) {
        mLoops = loops;
        mLimits = limits;
        mHandler = handler;
        mRejections = rejections;
    }

    /**
     * Binds the address.
     *
     * @return the address bound, which tells the port if 0 was asked for
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
                        .childHandler(new Initializer())
                        .bind(address)
                        .syncUninterruptibly()
                        .channel();
        mSweep =
                mLoops.next()
                        .scheduleWithFixedDelay(
                                this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        return (InetSocketAddress) mListener.localAddress();
    }

    /** From now on each response asks its client to close the connection. */
    public void drain() {
        mDraining = true;
    }

    /** Closes the connections on which no request has begun. */
    public void closeIdle() {
        mConnections.forEach(connection -> connection.onLoop(connection::closeIfIdle));
    }

    /** Stops listening and closes all connections, also those with an exchange under way. */
    public void stop() {
        if (mSweep != null) {
            mSweep.cancel(false);
        }
        if (mListener != null) {
            mListener.close().syncUninterruptibly();
        }
        mConnections.forEach(InboundConnection::close);
    }

    // Accessors

    /** Returns the number of open connections. */
    public int connections() {
        return mConnections.size();
    }

    /** Returns the number of connections with an exchange or a partly read request. */
    public int busyConnections() {
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

    void opened(InboundConnection connection) {
        mConnections.add(connection);
    }

    void closed(InboundConnection connection) {
        mConnections.remove(connection);
    }

    FullHttpResponse rejection(HttpResponseStatus status) {
        return mRejections.apply(status);
    }

    private void sweep() {
        long nowNanos = System.nanoTime();
        InboundLimits limits = mLimits.get();
        for (InboundConnection connection : mConnections) {
            connection.onLoop(() -> connection.enforceTimeouts(limits, nowNanos));
        }
    }

    /** Sets up the pipeline of a connection. */
    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            InboundConnection connection = new InboundConnection(HttpServer.this);
            HttpDecoderConfig config =
                    new HttpDecoderConfig()
                            .setMaxInitialLineLength(mLimits.get().maxHeaderBytes())
                            .setMaxHeaderSize(mLimits.get().maxHeaderBytes())
                            .setMaxChunkSize(MAX_CHUNK_BYTES);
            channel.pipeline()
                    .addLast(new ByteArrivals(connection))
                    .addLast(new HttpServerCodec(config))
                    .addLast(connection);
        }
    }

    /** Tells the connection about bytes before they are decoded. */
    private static final class ByteArrivals extends ChannelInboundHandlerAdapter {
        private final InboundConnection mConnection;

        private ByteArrivals(InboundConnection connection) {
            mConnection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            mConnection.bytesArrived();
            context.fireChannelRead(message);
        }
    }
}
