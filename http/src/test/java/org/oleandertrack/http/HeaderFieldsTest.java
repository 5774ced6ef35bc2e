package org.oleandertrack.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against heads of many short fields, which take many times their bytes in memory. */
final class HeaderFieldsTest {

    private static final long LIMIT_SECONDS = 10;
    // 3,000 fields have 12 kB, which is within the limit on the bytes of a head.
    private static final int FIELDS = 3_000;
    private static final InetSocketAddress ANY =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private final EventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    /** Receives a response of which only the outcome matters. */
    private static final class OutcomeExchange implements OutboundExchange {
        private final CompletableFuture<OutboundFailure> mFailure = new CompletableFuture<>();

        @Override
        public boolean onHead(HttpResponse head) {
            return true;
        }

        @Override
        public void onContent(ByteBuf part) {}

        @Override
        public void onEnd() {
            mFailure.completeExceptionally(new IllegalStateException("the response was accepted"));
        }

        @Override
        public void onFailure(OutboundFailure failure) {
            mFailure.complete(failure);
        }
    }

    @AfterEach
    void stop() {
        var _ = mLoops.shutdownGracefully();
    }

    private static String fields(int count) {
        return "a:\r\n".repeat(count);
    }

    /** Returns how the exchange with a server that writes the given response ended. */
    private CompletableFuture<OutboundFailure> exchange(String response) throws IOException {
        OutcomeExchange exchange = new OutcomeExchange();
        ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Thread.startVirtualThread(() -> serve(server, response));
        OutboundConnection connection =
                OutboundConnection.open(
                        mLoops.next(),
                        new InetSocketAddress(ANY.getAddress(), server.getLocalPort()),
                        1_000,
                        () -> {});
        mLoops.next()
                .execute(
                        () ->
                                connection.send(
                                        new DefaultHttpRequest(
                                                HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                                        Unpooled.EMPTY_BUFFER,
                                        exchange));
        return exchange.mFailure;
    }

    private static void serve(ServerSocket server, String response) {
        try (server;
                Socket socket = server.accept()) {
            socket.getInputStream().read(new byte[1_024]);
            socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            var _ = socket.getInputStream().read();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nFIELDS\r\n",
                "HTTP/1.1 103 X\r\nFIELDS\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nFIELDS\r\n"
            })
    void aResponseOfManyShortFieldsIsMalformed(String response) throws Exception {
        assertEquals(
                OutboundFailure.MALFORMED,
                exchange(response.replace("FIELDS", fields(FIELDS)))
                        .get(LIMIT_SECONDS, TimeUnit.SECONDS));
    }

    @Test
    void aResponseOfSomeFieldsIsAccepted() throws Exception {
        String response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + fields(100) + "\r\n";
        ExecutionException end =
                assertThrows(
                        ExecutionException.class,
                        () -> exchange(response).get(LIMIT_SECONDS, TimeUnit.SECONDS));
        assertEquals("the response was accepted", end.getCause().getMessage());
    }

    @Test
    void aRequestOfManyShortFieldsIsRejected() throws Exception {
        HttpServer server =
                new HttpServer(
                        mLoops,
                        () -> new InboundLimits(16 * 1_024, 1_024, 10_000, 10_000),
                        (request, writer) -> writer.respond(response(HttpResponseStatus.OK)),
                        HeaderFieldsTest::response);
        InetSocketAddress address = server.start(ANY);
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            String request = "GET / HTTP/1.1\r\nHost: host\r\n" + fields(FIELDS) + "\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] start = socket.getInputStream().readNBytes("HTTP/1.1 431".length());
            String status = new String(start, StandardCharsets.US_ASCII);
            assertTrue(status.endsWith("431"), status);
        } finally {
            server.stop();
        }
    }

    private static DefaultFullHttpResponse response(HttpResponseStatus status) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        response.headers().set("Content-Length", 0);
        return response;
    }
}
