package org.oleandertrack.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;

/** Guards against a call that cuts or suspends the exchange of another call on its connection. */
final class EndedExchangeTest {

    private static final byte[] RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII);
    private static final long LIMIT_SECONDS = 10;

    /** An exchange that completes a future with its body. */
    private static final class RecordingExchange implements OutboundExchange {
        private final CompletableFuture<String> mBody = new CompletableFuture<>();
        private final StringBuilder mText = new StringBuilder();

        @Override
        public boolean onHead(HttpResponse head) {
            return true;
        }

        @Override
        public void onContent(ByteBuf part) {
            mText.append(part.toString(StandardCharsets.US_ASCII));
        }

        @Override
        public void onEnd() {
            mBody.complete(mText.toString());
        }

        @Override
        public void onFailure(OutboundFailure failure) {
            mBody.completeExceptionally(new AssertionError(failure.toString()));
        }
    }

    // Answers the first request at once, and later ones when it is told to.
    private static void serve(ServerSocket server, CountDownLatch goOn) {
        try (Socket socket = server.accept()) {
            for (int i = 0; socket.getInputStream().read(new byte[1_024]) > 0; i++) {
                if (i > 0) {
                    goOn.await();
                }
                socket.getOutputStream().write(RESPONSE);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static DefaultHttpRequest request() {
        return new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x");
    }

    private static void assertNextExchangeEndsAfter(
            BiConsumer<OutboundConnection, OutboundExchange> lateOperation) throws Exception {
        var loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        CountDownLatch goOn = new CountDownLatch(1);
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.startVirtualThread(() -> serve(server, goOn));
            EventLoop loop = loops.next();
            OutboundConnection connection =
                    OutboundConnection.open(
                            loop,
                            new InetSocketAddress(
                                    InetAddress.getLoopbackAddress(), server.getLocalPort()),
                            1_000,
                            () -> {});
            RecordingExchange ended = new RecordingExchange();
            loop.execute(() -> connection.send(request(), Unpooled.EMPTY_BUFFER, ended));
            assertEquals("ok", ended.mBody.get(LIMIT_SECONDS, TimeUnit.SECONDS));
            RecordingExchange next = new RecordingExchange();
            loop.execute(
                    () -> {
                        connection.send(request(), Unpooled.EMPTY_BUFFER, next);
                        lateOperation.accept(connection, ended);
                    });
            goOn.countDown();
            assertEquals("ok", next.mBody.get(LIMIT_SECONDS, TimeUnit.SECONDS));
        } finally {
            goOn.countDown();
            var _ = loops.shutdownGracefully();
        }
    }

    @Test
    void anExchangeThatHasEndedDoesNotCloseTheConnectionOfTheNextOne() throws Exception {
        assertNextExchangeEndsAfter(OutboundConnection::cancel);
    }

    @Test
    void anExchangeThatHasEndedDoesNotSuspendTheNextOne() throws Exception {
        assertNextExchangeEndsAfter((connection, ended) -> connection.setReading(ended, false));
    }
}
