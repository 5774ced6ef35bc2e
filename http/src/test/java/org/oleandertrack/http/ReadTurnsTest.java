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
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a server that sends without pause and keeps the event loop from all others. */
final class ReadTurnsTest {

    private static final int TOTAL_BYTES = 8 * 1024 * 1024;
    private static final int MAX_BYTES_PER_TURN = 32 * 1024;

    /** Counts the bytes that arrive between two turns of other tasks of the loop. */
    private static final class TurnCounter implements OutboundExchange, Runnable {
        private final EventLoop mLoop;
        private final CompletableFuture<Integer> mMaxBytesPerTurn = new CompletableFuture<>();
        private int mBytesOfTurn;
        private int mMaxBytes;

        private TurnCounter(EventLoop loop) {
            mLoop = loop;
        }

        @Override
        public void run() {
            mMaxBytes = Math.max(mMaxBytes, mBytesOfTurn);
            mBytesOfTurn = 0;
            if (!mMaxBytesPerTurn.isDone()) {
                // Runs in the next turn of the loop; an executed task would run in this one.
                var _ = mLoop.schedule(this, 0, TimeUnit.NANOSECONDS);
            }
        }

        @Override
        public boolean onHead(HttpResponse head) {
            return true;
        }

        @Override
        public void onContent(ByteBuf part) {
            mBytesOfTurn += part.readableBytes();
        }

        @Override
        public void onEnd() {
            run();
            mMaxBytesPerTurn.complete(mMaxBytes);
        }

        @Override
        public void onFailure(OutboundFailure failure) {
            mMaxBytesPerTurn.completeExceptionally(new AssertionError(failure.toString()));
        }
    }

    private static void serve(ServerSocket server) {
        try (Socket socket = server.accept()) {
            socket.getInputStream().read(new byte[1_024]);
            String head = "HTTP/1.1 200 OK\r\nContent-Length: " + TOTAL_BYTES + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(new byte[TOTAL_BYTES]);
            var _ = socket.getInputStream().read();
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @Test
    void otherTasksHaveTheirTurnWhileAServerSendsWithoutPause() throws Exception {
        var loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.startVirtualThread(() -> serve(server));
            EventLoop loop = loops.next();
            TurnCounter counter = new TurnCounter(loop);
            OutboundConnection connection =
                    OutboundConnection.open(
                            loop,
                            new InetSocketAddress(
                                    InetAddress.getLoopbackAddress(), server.getLocalPort()),
                            1_000,
                            () -> {});
            loop.execute(
                    () -> {
                        counter.run();
                        connection.send(
                                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                                Unpooled.EMPTY_BUFFER,
                                counter);
                    });
            int maxBytes = counter.mMaxBytesPerTurn.get();
            assertTrue(maxBytes <= MAX_BYTES_PER_TURN, maxBytes + " bytes in one turn");
        } finally {
            var _ = loops.shutdownGracefully();
        }
    }
}
