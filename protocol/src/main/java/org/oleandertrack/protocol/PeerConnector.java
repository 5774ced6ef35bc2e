package org.oleandertrack.protocol;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.oleandertrack.core.result.ResultException;

/**
 * Opens connections to peers. Thread safe. Its I/O threads run from its creation until {@link
 * #stop}.
 */
public final class PeerConnector {

    private final ConnectionContext mContext;
    private final EventLoopGroup mIoThreads = IoThreads.start("peer-connector");
    private final ChannelGroup mChannels =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);

    /** Creates a connector that reports no load and configuration version 0 to its peers. */
    public PeerConnector(
            LocalNode node,
            ProtocolLimits limits,
            ControlHandler controlHandler,
            LongSupplier nanoClock) {
        this(node, limits, controlHandler, nanoClock, NodeStatus::empty);
    }

    /**
     * Creates a connector.
     *
     * @param nanoClock the process's monotonic clock, in nanoseconds
     * @param status supplies the status for heartbeats; must not block
     */
    public PeerConnector(
            LocalNode node,
            ProtocolLimits limits,
            ControlHandler controlHandler,
            LongSupplier nanoClock,
            Supplier<NodeStatus> status) {
        mContext = new ConnectionContext(node, limits, controlHandler, nanoClock, status);
    }

    /**
     * Opens a connection.
     *
     * @return completes after the handshake; fails with {@link IOException} if the peer cannot be
     *     reached and with {@link ResultException} if the handshake fails
     */
    public CompletableFuture<PeerConnection> connect(String address, int port) {
        if (mIoThreads.isShuttingDown()) {
            return CompletableFuture.failedFuture(new IOException("the connector has stopped"));
        }
        ClientConnection connection = new ClientConnection(mContext);
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(mIoThreads)
                        .channel(NioSocketChannel.class)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                mContext.limits().handshakeTimeoutMillis())
                        .handler(
                                new ConnectionInitializer(
                                        mContext.limits().maxFrameBytes(),
                                        mChannels,
                                        () -> connection));
        ChannelFuture connected = bootstrap.connect(new InetSocketAddress(address, port));
        if (connected.isDone() && !connected.isSuccess()) {
            // The connector was stopped in the meantime, so no I/O thread is left to run a
            // listener.
            return CompletableFuture.failedFuture(connected.cause());
        }
        connected.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        connection.ready().completeExceptionally(done.cause());
                    }
                });
        return connection.ready();
    }

    /** Closes all connections without waiting for open calls, and stops the I/O threads. */
    public void stop() {
        var _ = mChannels.close();
        IoThreads.stop(mIoThreads);
    }
}
