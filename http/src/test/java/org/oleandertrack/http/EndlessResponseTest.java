package org.oleandertrack.http;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a store or a peer whose response has no end and is held as a whole. */
final class EndlessResponseTest {

    private static final long LIMIT_SECONDS = 20;
    // Far more than a response may have, and than the buffers of the sockets take.
    private static final int MANY_KILOBYTES = 64 * 1_024;
    private static final byte[] KILOBYTE = "x".repeat(1_024).getBytes(StandardCharsets.US_ASCII);

    private static void serve(ServerSocket server, String start, AtomicLong writtenKilobytes) {
        try (Socket socket = server.accept()) {
            socket.getInputStream().read(new byte[1_024]);
            socket.getOutputStream().write(start.getBytes(StandardCharsets.US_ASCII));
            for (int i = 0; i < MANY_KILOBYTES; i++) {
                socket.getOutputStream().write(KILOBYTE);
                writtenKilobytes.incrementAndGet();
            }
            var _ = socket.getInputStream().read();
        } catch (IOException e) {
            // The client has closed its connection.
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n",
                "HTTP/1.1 200 OK\r\nLong: ",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;extension=",
                "x"
            })
    void aResponseWithoutEndFails(String start) throws Exception {
        AtomicLong writtenKilobytes = new AtomicLong();
        var loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.startVirtualThread(() -> serve(server, start, writtenKilobytes));
            InetSocketAddress address =
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
            PooledHttpClient client = new PooledHttpClient(loops.next(), address);
            var response =
                    client.call(
                            HttpMethod.GET,
                            "/",
                            "text/plain",
                            new byte[0],
                            TimeUnit.SECONDS.toMillis(LIMIT_SECONDS));
            ExecutionException end = assertThrows(ExecutionException.class, response::get);
            assertInstanceOf(HttpCallException.class, end.getCause());
            assertTrue(end.getCause().getMessage().endsWith("MALFORMED"), end.toString());
            assertTrue(writtenKilobytes.get() < MANY_KILOBYTES, writtenKilobytes + " KB were read");
        } finally {
            var _ = loops.shutdownGracefully();
        }
    }
}
