package org.oleandertrack.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Guards against a response without length that counts as complete although its connection was
 * reset.
 */
final class ResetBehindPartTest {

    private static final long LIMIT_SECONDS = 20;
    // More than the buffers of the sockets take, so that the request is never written as a whole.
    private static final int REQUEST_BYTES = 64 * 1024 * 1024;

    private static void serve(ServerSocket server, String start, CompletableFuture<Void> partRead) {
        try (Socket socket = server.accept()) {
            socket.getInputStream().read(new byte[1_024]);
            socket.getOutputStream().write(start.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
            partRead.join();
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // The client has closed its connection.
        }
    }

    private static String outcome(String start) throws Exception {
        CompletableFuture<Void> partRead = new CompletableFuture<>();
        CompletableFuture<String> outcome = new CompletableFuture<>();
        var loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.startVirtualThread(() -> serve(server, start, partRead));
            InetSocketAddress address =
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
            DefaultHttpRequest head =
                    new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, REQUEST_BYTES);
            loops.next()
                    .execute(
                            () ->
                                    OutboundConnection.open(loops.next(), address, 1_000, () -> {})
                                            .send(
                                                    head,
                                                    Unpooled.wrappedBuffer(new byte[REQUEST_BYTES]),
                                                    new Exchange(partRead, outcome)));
            return outcome.get(LIMIT_SECONDS, TimeUnit.SECONDS);
        } finally {
            var _ = loops.shutdownGracefully();
        }
    }

    @Test
    void aResetEndsNoBody() throws Exception {
        assertEquals("failed", outcome("HTTP/1.1 200 OK\r\n\r\npart"));
    }

    /** Reports how an exchange ends, and when a part of the response body has arrived. */
    private record Exchange(CompletableFuture<Void> partRead, CompletableFuture<String> outcome)
            implements OutboundExchange {

        @Override
        public boolean onHead(HttpResponse head) {
            return true;
        }

        @Override
        public void onContent(ByteBuf part) {
            partRead.complete(null);
        }

        @Override
        public void onEnd() {
            outcome.complete("complete");
        }

        @Override
        public void onFailure(OutboundFailure failure) {
            outcome.complete("failed");
        }
    }
}
