package org.oleandertrack.http;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a connection that no later exchange reads, because a slow caller suspended it. */
final class SuspendedReadingTest {

    private static final byte[] RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII);
    private static final long LIMIT_SECONDS = 10;

    /** An exchange that suspends reading at its first byte. */
    private static final class SuspendingExchange implements OutboundExchange {
        private final OutboundConnection mConnection;
        private final CompletableFuture<Boolean> mReusable = new CompletableFuture<>();

        private SuspendingExchange(OutboundConnection connection) {
            mConnection = connection;
        }

        @Override
        public boolean onHead(HttpResponse head) {
            return true;
        }

        @Override
        public void onContent(ByteBuf part) {
            mConnection.setReading(this, false);
        }

        @Override
        public void onEnd() {
            mReusable.complete(mConnection.isReusable());
        }

        @Override
        public void onFailure(OutboundFailure failure) {
            mReusable.completeExceptionally(new AssertionError(failure.toString()));
        }
    }

    private static void serve(ServerSocket server) {
        try (Socket socket = server.accept()) {
            while (socket.getInputStream().read(new byte[1_024]) > 0) {
                socket.getOutputStream().write(RESPONSE);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    void aConnectionIsReadAgainAfterAnExchangeThatSuspendedReading() throws Exception {
        var loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.startVirtualThread(() -> serve(server));
            EventLoop loop = loops.next();
            OutboundConnection connection =
                    OutboundConnection.open(
                            loop,
                            new InetSocketAddress(
                                    InetAddress.getLoopbackAddress(), server.getLocalPort()),
                            1_000,
                            () -> {});
            for (int i = 0; i < 3; i++) {
                SuspendingExchange exchange = new SuspendingExchange(connection);
                loop.execute(
                        () ->
                                connection.send(
                                        new DefaultHttpRequest(
                                                HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                                        Unpooled.EMPTY_BUFFER,
                                        exchange));
                assertTrue(exchange.mReusable.get(LIMIT_SECONDS, TimeUnit.SECONDS));
            }
        } finally {
            var _ = loops.shutdownGracefully();
        }
    }
}
