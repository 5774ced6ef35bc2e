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

/** Accepts connections from peers and receives their calls. Thread safe; started at most once. */
public final class PeerServer {

    private static final int STOP_SECONDS = 5;

    private final ConnectionContext mContext;
    private final CallHandler mCallHandler;
    private final Set<ServerConnection> mPeers = ConcurrentHashMap.newKeySet();
    private final ChannelGroup mChannels =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private EventLoopGroup mThreads;
    private volatile Channel mListening;

    /** Creates a server that reports an empty status in its heartbeats. */
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
     * @param status read for every heartbeat and every end of a call; must not block
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
     * Starts to accept connections.
     *
     * @param port TCP port, 0 for any free one
     * @throws ResultException with ADDRESS_IN_USE if the address cannot be bound
     */
    public synchronized void start(String address, int port) {
        if (mThreads != null) {
            throw new IllegalStateException("the server was started before");
        }
        mThreads = IoThreads.start("peer-server");
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mThreads)
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
            IoThreads.stop(mThreads);
            throw new ResultException(
                    ResultCode.ADDRESS_IN_USE,
                    "cannot bind " + address + ":" + port + ": " + bound.cause().getMessage());
        }
        mListening = bound.channel();
        Logger.info("accepting peers at {}", mListening.localAddress());
    }

    /**
     * Closes all connections and ends the I/O threads. Frames sent before, such as the ends of
     * calls, are written first; calls under way are lost. For a graceful shutdown, stop once {@link
     * #openCalls} is 0.
     */
    public synchronized void stop() {
        if (mListening == null) {
            return;
        }
        var _ = mListening.close();
        List<ServerConnection> connections = List.copyOf(mPeers);
        connections.forEach(ServerConnection::finish);
        if (!IoThreads.isIoThread(mThreads)) {
            awaitClosed(connections);
        }
        var _ = mChannels.close();
        IoThreads.stop(mThreads);
        mListening = null;
    }

    // Accessors.

    /** Returns the bound port. */
    public int port() {
        Channel listening = mListening;
        if (listening == null) {
            throw new IllegalStateException("the server is not running");
        }
        return ((InetSocketAddress) listening.localAddress()).getPort();
    }

    /** Returns what the connected peers said of themselves, at this moment. */
    public List<Hello> peers() {
        return mPeers.stream().map(ServerConnection::peerHello).toList();
    }

    /** Returns the bytes that wait for peers to read, over all connections. */
    public long unsentBytes() {
        return mPeers.stream().mapToLong(connection -> connection.outbox().unsentBytes()).sum();
    }

    /** Returns the calls that have begun to arrive and whose end is not written yet. */
    public int openCalls() {
        return mPeers.stream().mapToInt(ServerConnection::openCalls).sum();
    }

    // Operations.

    /** Sends a control frame to all connected peers that accept frames of its size. */
    public void broadcast(Frame frame) {
        for (ServerConnection connection : mPeers) {
            try {
                connection.sendControl(frame);
            } catch (ResultException e) {
                Logger.warn("{}: {}", connection, e.getMessage());
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
        // Each closes itself after lingering; the limit only covers I/O threads that hang.
        CompletableFuture.allOf(closed)
                .completeOnTimeout(null, STOP_SECONDS, TimeUnit.SECONDS)
                .join();
    }

    private void onHandshake(ServerConnection connection) {
        mPeers.add(connection);
        var _ = connection.closed().thenRun(() -> mPeers.remove(connection));
    }
}
