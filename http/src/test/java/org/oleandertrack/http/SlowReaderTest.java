package org.oleandertrack.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Guards against a stop that cuts off a response of which a slow client has not read the end. */
final class SlowReaderTest {

    // More than the socket buffers of both sides hold.
    private static final int BODY_BYTES = 64 * 1024 * 1024;
    private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private static FullHttpResponse largeResponse() {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.OK,
                        Unpooled.wrappedBuffer(new byte[BODY_BYTES]));
        HttpUtil.setContentLength(response, BODY_BYTES);
        return response;
    }

    private static String readHead(InputStream input) throws Exception {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) input.read());
        }
        return head.toString();
    }

    /** What is checked while the client reads nothing of its response. */
    @FunctionalInterface
    private interface Check {
        void run(HttpServer server, Socket client) throws Exception;
    }

    private static void checkDuringResponse(boolean draining, Check check) throws Exception {
        EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        CountDownLatch responded = new CountDownLatch(1);
        HttpServer server =
                new HttpServer(
                        loops,
                        () -> new InboundLimits(8_192, 8_192, 10_000, 60_000),
                        (request, writer) -> {
                            writer.respond(largeResponse());
                            responded.countDown();
                        },
                        HttpResponses::empty);
        InetSocketAddress address =
                server.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        try (Socket client = new Socket()) {
            client.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            client.setSoTimeout(READ_TIMEOUT_MILLIS);
            client.connect(address);
            if (draining) {
                server.drain();
            }
            client.getOutputStream()
                    .write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            responded.await();
            check.run(server, client);
        } finally {
            server.stop();
            var _ = loops.shutdownGracefully();
        }
    }

    private static void assertCloseOfIdleConnectionsSparesIt(HttpServer server, Socket client)
            throws Exception {
        server.closeIdle();
        readHead(client.getInputStream());
        assertEquals(BODY_BYTES, client.getInputStream().readNBytes(BODY_BYTES).length);
    }

    @Test
    void aResponseThatIsStillBeingWrittenIsNotCutOff() throws Exception {
        checkDuringResponse(false, SlowReaderTest::assertCloseOfIdleConnectionsSparesIt);
    }

    @Test
    void theLastResponseOfADrainedConnectionIsNotCutOff() throws Exception {
        checkDuringResponse(true, SlowReaderTest::assertCloseOfIdleConnectionsSparesIt);
    }

    @Test
    void aConnectionWhoseResponseIsStillBeingWrittenIsBusy() throws Exception {
        checkDuringResponse(
                false, (server, client) -> assertEquals(1, server.busyConnectionCount()));
    }
}
