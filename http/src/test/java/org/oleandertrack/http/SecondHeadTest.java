package org.oleandertrack.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Guards against a client that waits for ever for the end of a response with two heads. */
final class SecondHeadTest {

    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private static HttpResponse head() {
        DefaultHttpResponse head =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        return head;
    }

    private static void assertBrokenOffAfter(Consumer<ResponseWriter> second) throws Exception {
        var loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        HttpServer server =
                new HttpServer(
                        loops,
                        () -> new InboundLimits(8_192, 8_192, 60_000, 60_000),
                        (request, writer) -> {
                            writer.start(head());
                            writer.write(Unpooled.copiedBuffer("part", StandardCharsets.US_ASCII));
                            second.accept(writer);
                        },
                        HttpResponses::empty);
        InetSocketAddress address =
                server.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.setSoTimeout(READ_TIMEOUT_MILLIS);
            client.getOutputStream()
                    .write(
                            "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
            String received =
                    new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertEquals(2, received.split("HTTP/1.1", -1).length, received);
            assertTrue(received.endsWith("4\r\npart\r\n"), received);
        } finally {
            server.stop();
            var _ = loops.shutdownGracefully();
        }
    }

    @Test
    void aCompleteResponseBehindAStartedOneBreaksItOff() throws Exception {
        assertBrokenOffAfter(
                writer -> writer.respond(HttpResponses.empty(HttpResponseStatus.BAD_GATEWAY)));
    }

    @Test
    void aSecondHeadBreaksTheResponseOff() throws Exception {
        assertBrokenOffAfter(
                writer -> {
                    writer.start(head());
                    writer.write(Unpooled.copiedBuffer("late", StandardCharsets.US_ASCII));
                    writer.end();
                });
    }
}
