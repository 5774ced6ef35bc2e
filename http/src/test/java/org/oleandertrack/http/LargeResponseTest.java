package org.oleandertrack.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Guards against a busy host that receives a large row of the store too late or never. */
final class LargeResponseTest {

    private static final int ROW_BYTES = 1024 * 1024;
    // A configuration has to be in force in 3 s, and a busy loop takes 100 ms a turn.
    private static final int MAX_TURNS = 30;
    private static final long BUSY_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    /** Writes a response of which each part comes after a pause. */
    private static void serve(ServerSocket server, int parts, int partBytes, long pauseMillis) {
        try (Socket socket = server.accept()) {
            socket.getInputStream().read(new byte[1_024]);
            String head = "HTTP/1.1 200 OK\r\nContent-Length: " + parts * partBytes + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            for (int i = 0; i < parts; i++) {
                if (pauseMillis > 0) {
                    TimeUnit.MILLISECONDS.sleep(pauseMillis);
                }
                socket.getOutputStream().write(new byte[partBytes]);
            }
            var _ = socket.getInputStream().read();
        } catch (IOException | InterruptedException e) {
            // The client has closed its connection.
        }
    }

    private static CompletableFuture<ReceivedResponse> call(
            EventLoop loop, ServerSocket server, long timeoutMillis) {
        InetSocketAddress address =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
        return new PooledHttpClient(loop, address)
                .call(HttpMethod.GET, "/", "text/plain", new byte[0], timeoutMillis);
    }

    private static void keepBusy(EventLoop loop, AtomicBoolean ended, AtomicInteger turns) {
        if (ended.get()) {
            return;
        }
        turns.incrementAndGet();
        long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < BUSY_NANOS) {
            Thread.onSpinWait();
        }
        // Runs in the next turn of the loop; an executed task would run in this one.
        var _ = loop.schedule(() -> keepBusy(loop, ended, turns), 0, TimeUnit.NANOSECONDS);
    }

    @Test
    void aLargeResponseNeedsFewTurnsOfABusyLoop() throws Exception {
        var loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.startVirtualThread(() -> serve(server, 1, ROW_BYTES, 0));
            EventLoop loop = loops.next();
            AtomicInteger turns = new AtomicInteger();
            AtomicBoolean ended = new AtomicBoolean();
            var response =
                    call(loop, server, 30_000).whenComplete((value, failure) -> ended.set(true));
            loop.execute(() -> keepBusy(loop, ended, turns));
            assertEquals(ROW_BYTES, response.get().body().readableBytes());
            assertTrue(turns.get() <= MAX_TURNS, turns + " turns");
        } finally {
            var _ = loops.shutdownGracefully();
        }
    }

    @Test
    void aResponseThatKeepsArrivingIsNotGivenUp() throws Exception {
        var loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.startVirtualThread(() -> serve(server, 12, 128 * 1024, 200));
            var response = call(loops.next(), server, 1_500);
            assertEquals(12 * 128 * 1024, response.get().body().readableBytes());
        } finally {
            var _ = loops.shutdownGracefully();
        }
    }

    @Test
    void aResponseThatTricklesIsGivenUp() throws Exception {
        var loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.startVirtualThread(() -> serve(server, 1_000, 1, 20));
            var response = call(loops.next(), server, 300);
            ExecutionException end = assertThrows(ExecutionException.class, response::get);
            assertTrue(end.getMessage().endsWith("was not answered in time"), end.toString());
        } finally {
            var _ = loops.shutdownGracefully();
        }
    }
}
