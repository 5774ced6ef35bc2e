package org.oleandertrack.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Finds out whether a server accepts connections. */
public final class ConnectProbe {

    private ConnectProbe() {}

    /**
     * Opens a connection and closes it at once.
     *
     * @param onResult called on the event loop with whether the connection was established in time
     */
    public static void run(
            EventLoop loop,
            InetSocketAddress remote,
            int timeoutMillis,
            Consumer<Boolean> onResult) {
        ChannelFuture connected =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
                        .handler(new ChannelInboundHandlerAdapter())
                        .connect(remote);
        connected.addListener(
                done -> {
                    var _ = connected.channel().close();
                    onResult.accept(done.isSuccess());
                });
    }
}
