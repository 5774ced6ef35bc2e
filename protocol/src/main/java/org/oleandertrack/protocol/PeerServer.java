package org.oleandertrack.protocol;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Hello;
import org.tinylog.Logger;

/**
 * Accepts connections from peers and receives their calls. Thread safe. Can be started only once.
 */
public final class PeerServer {

    private static final int CLOSE_TIMEOUT_SECONDS = 5;

    private final ConnectionContext mContext;
    private final CallHandler mCallHandler;
    private final Set<ServerConnection> mConnections = ConcurrentHashMap.newKeySet();
    private final ChannelGroup mChannels =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private EventLoopGroup mIoThreads;
    private volatile Channel mListeningChannel;

    /** Creates a server that reports no load and configuration version 0 to its peers. */
    public PeerServer(
            LocalNode node,
            ProtocolLimits limits,
            CallHandler callHandler,
            ControlHandler controlHandler,
            LongSupplier nanoClock) {
        this(node, limits, callHandler, controlHandler, nanoClock, NodeStatus::empty);
    }

    /**
     * Creates a server.
     *
     * @param nanoClock the process's monotonic clock, in nanoseconds
     * @param status supplies the status for heartbeats and ends of calls; must not block
     */
    public PeerServer(
            LocalNode node,
            ProtocolLimits limits,
            CallHandler callHandler,
            ControlHandler controlHandler,
            LongSupplier nanoClock,
            Supplier<NodeStatus> status) {
        mContext = new ConnectionContext(node, limits, controlHandler, nanoClock, status);
        mCallHandler = callHandler;
    }

    // Life-cycle.

    /**
     * Binds the address and starts to accept connections.
     *
     * @param port TCP port, or 0 for any free port
     * @throws ResultException with ADDRESS_IN_USE if the address cannot be bound
     */
    public synchronized void start(String address, int port) {
        if (mIoThreads != null) {
            throw new IllegalStateException("the server has already been started");
        }
        mIoThreads = IoThreads.start("peer-server");
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mIoThreads)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childHandler(
                                new ConnectionInitializer(
                                        mContext.limits().maxFrameBytes(),
                                        mChannels,
                                        this::newConnection));
        ChannelFuture bound =
                bootstrap.bind(new InetSocketAddress(address, port)).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            IoThreads.stop(mIoThreads);
            throw new ResultException(
                    ResultCode.ADDRESS_IN_USE,
                    "cannot bind " + address + ":" + port + ": " + bound.cause().getMessage());
        }
        mListeningChannel = bound.channel();
        Logger.info("accepting peer connections at {}", mListeningChannel.localAddress());
    }

    /**
     * Closes all connections and stops the I/O threads. Frames submitted earlier, such as the ends
     * of calls, are written first. Open calls are lost; for a graceful shutdown, call this method
     * once {@link #openCalls} is 0.
     */
    public synchronized void stop() {
        if (mListeningChannel == null) {
            return;
        }
        var _ = mListeningChannel.close();
        List<ServerConnection> connections = List.copyOf(mConnections);
        connections.forEach(ServerConnection::closeAfterPendingWrites);
        if (!IoThreads.isIoThread(mIoThreads)) {
            awaitClosed(connections);
        }
        var _ = mChannels.close();
        IoThreads.stop(mIoThreads);
        mListeningChannel = null;
    }

    // Accessors.

    /**
     * Returns the TCP port that the server listens on.
     *
     * @throws IllegalStateException if the server is not running
     */
    public int port() {
        Channel channel = mListeningChannel;
        if (channel == null) {
            throw new IllegalStateException("the server is not running");
        }
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Returns the Hellos of the currently connected peers. */
    public List<Hello> peers() {
        return mConnections.stream().map(ServerConnection::peerHello).toList();
    }

    /** Returns the unsent bytes, summed over all connections. */
    public long unsentBytes() {
        return mConnections.stream()
                .mapToLong(connection -> connection.outbox().unsentBytes())
                .sum();
    }

    /** Returns the number of calls whose head has arrived and whose end is not written yet. */
    public int openCalls() {
        return mConnections.stream().mapToInt(ServerConnection::openCalls).sum();
    }

    // Operations.

    /** Sends a control frame to all connected peers. Skips peers whose frame limit it exceeds. */
    public void broadcast(Frame frame) {
        for (ServerConnection connection : mConnections) {
            try {
                connection.sendControl(frame);
            } catch (ResultException e) {
                Logger.warn("cannot broadcast to {}: {}", connection, e.getMessage());
            }
        }
    }

    // Helpers.

    private Connection newConnection() {
        return new ServerConnection(mContext, mCallHandler, this::onHandshake);
    }

    private static void awaitClosed(List<ServerConnection> connections) {
        CompletableFuture<?>[] closed =
                connections.stream().map(Connection::closed).toArray(CompletableFuture<?>[]::new);
        // Connections close by themselves after lingering. The timeout applies only if an I/O
        // thread hangs.
        CompletableFuture.allOf(closed)
                .completeOnTimeout(null, CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .join();
    }

    private void onHandshake(ServerConnection connection) {
        mConnections.add(connection);
        var _ = connection.closed().thenRun(() -> mConnections.remove(connection));
    }
}
