package org.oleandertrack.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.net.ServerSocket;
import java.net.SocketException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.protocol.Peers.RecordedResponse;
import org.oleandertrack.protocol.message.CallBody;
import org.oleandertrack.protocol.message.Cancel;
import org.oleandertrack.protocol.message.Execution;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Heartbeat;
import org.oleandertrack.protocol.message.Hello;
import org.oleandertrack.protocol.message.ResponseBody;
import org.oleandertrack.protocol.message.ResponseEnd;

/** Response windows, and limits of unsent bytes and of incomplete request bodies. */
final class FlowControlTest {

    private static final int WINDOW_BYTES = 10_000;
    private static final ProtocolLimits SMALL_WINDOW =
            new ProtocolLimits(1 << 20, 8 << 20, WINDOW_BYTES, 32 << 20, 600_000, 600_000, 600_000);
    private static final int MAX_UNSENT_BYTES = 1 << 20;
    private static final ProtocolLimits SMALL_UNSENT_LIMIT =
            new ProtocolLimits(
                    1 << 20, 8 << 20, 256 << 10, MAX_UNSENT_BYTES, 600_000, 600_000, 600_000);

    private final Peers mPeers = new Peers();

    @AfterEach
    void stop() {
        mPeers.close();
    }

    private static ByteString zeros(int bytes) {
        return ByteString.copyFrom(new byte[bytes]);
    }

    private static int readBody(RawPeer peer, int bytes) throws Exception {
        int read = 0;
        while (read < bytes) {
            Frame frame = peer.read().orElseThrow();
            assertTrue(frame.hasResponseBody(), frame::toString);
            read += frame.getResponseBody().getData().size();
        }
        return read;
    }

    // Response window.

    /** Guards against a server that sends more response bytes than the caller granted. */
    @Test
    void sendsNoMoreThanTheWindow() throws Exception {
        int total = 1 << 20;
        CompletableFuture<CompletableFuture<Void>> sent = new CompletableFuture<>();
        PeerServer server =
                mPeers.server(
                        call -> {
                            if (call.head().getCallId() == 1) {
                                sent.complete(call.respondBody(zeros(total)));
                            } else {
                                call.respondEnd(Peers.success());
                            }
                        });
        Hello hello =
                RawPeer.clientHello().toBuilder().setResponseWindowBytes(WINDOW_BYTES).build();
        try (RawPeer peer = RawPeer.connectAndHandshake(server.port(), hello)) {
            peer.send(RawPeer.call(1, 0));
            int received = readBody(peer, WINDOW_BYTES);
            int granted = WINDOW_BYTES;
            for (int round = 2; received < total; round++) {
                assertEquals(granted, received);
                assertFalse(
                        Peers.await(sent).isDone(),
                        "the part completed while the window was closed");
                // The next frame is the end of another call only if no body frame is sent before
                // it.
                peer.send(RawPeer.call(round, 0));
                assertTrue(peer.read().orElseThrow().hasResponseEnd());

                int credit = 70_000 + round;
                peer.send(RawPeer.credit(1, credit));
                granted += credit;
                received += readBody(peer, Math.min(total - received, credit));
            }
            Peers.await(Peers.await(sent));
        }
    }

    /**
     * Guards against a server that sends a slow reader more than its window, and against a response
     * that stalls although credit is returned.
     */
    @Test
    void slowReaderReceivesAllWithinItsWindow() throws Exception {
        int total = 300_000;
        PeerServer server =
                mPeers.server(
                        call -> {
                            var _ = call.respondBody(zeros(total));
                            call.respondEnd(Peers.success());
                        });
        PeerConnection connection = mPeers.connect(SMALL_WINDOW, server.port());
        RecordedResponse response = new RecordedResponse(false);
        OutboundCall call = response.start(connection, Peers.head("/x"), ByteString.EMPTY);
        int consumed = 0;
        while (consumed < total) {
            int step = Math.min(total - consumed, 777);
            int wanted = consumed + step;
            Peers.eventually(() -> response.bytes() >= wanted);
            assertTrue(
                    response.bytes() <= consumed + WINDOW_BYTES,
                    "received more bytes than the window allows");
            call.returnCredit(step);
            consumed += step;
        }
        assertEquals(0, Peers.await(response.mEnd).getResultCode());
        assertEquals(total, response.bytes());
    }

    /** Guards against credit for bytes that were never received, which would enlarge the window. */
    @Test
    void consumingMoreThanReceivedIsRefused() throws Exception {
        PeerServer server = mPeers.server(call -> call.respondEnd(Peers.success()));
        PeerConnection connection = mPeers.connect(server.port());
        RecordedResponse response = new RecordedResponse(false);
        OutboundCall call = response.start(connection, Peers.head("/x"), ByteString.EMPTY);
        Peers.await(response.mEnd);
        assertThrows(IllegalArgumentException.class, () -> call.returnCredit(1));
        assertThrows(IllegalArgumentException.class, () -> call.returnCredit(-1));
    }

    /** Guards against a peer that ignores the window and makes this process run out of memory. */
    @Test
    void responseBeyondTheWindowIsRefused() throws Exception {
        try (ServerSocket listening = RawPeer.listen()) {
            CompletableFuture<PeerConnection> connecting =
                    mPeers.connector(SMALL_WINDOW, System::nanoTime)
                            .connect(Peers.LOOPBACK, listening.getLocalPort());
            try (RawPeer peer = RawPeer.accept(listening, RawPeer.serverHello())) {
                RecordedResponse response = new RecordedResponse(false);
                response.start(Peers.await(connecting), Peers.head("/x"), ByteString.EMPTY);
                assertTrue(peer.read().orElseThrow().hasCall());
                ResponseBody.Builder body =
                        ResponseBody.newBuilder().setCallId(1).setData(zeros(WINDOW_BYTES));
                peer.send(Frame.newBuilder().setResponseBody(body).build());
                peer.send(Frame.newBuilder().setResponseBody(body.setData(zeros(1))).build());
                assertEquals(ResultCode.MALFORMED_FRAME.number(), peer.readReject());
                assertTrue(Peers.await(response.mLost));
                assertEquals(WINDOW_BYTES, response.bytes());
            }
        }
    }

    /**
     * Guards against body parts and the end being sent out of order after waiting for the window.
     */
    @Test
    void partsAndEndKeepTheirOrder() throws Exception {
        PeerServer server =
                mPeers.server(
                        call -> {
                            for (int i = 0; i < 100; i++) {
                                String text = "part " + i + ";" + ".".repeat(i * 20);
                                var _ = call.respondBody(ByteString.copyFromUtf8(text));
                                var _ = call.respondBody(ByteString.EMPTY);
                            }
                            call.respondEnd(Peers.success());
                        });
        PeerConnection connection = mPeers.connect(SMALL_WINDOW, server.port());
        RecordedResponse response =
                RecordedResponse.of(connection, Peers.head("/x"), ByteString.EMPTY);
        Peers.await(response.mEnd);
        StringBuilder expected = new StringBuilder();
        for (int i = 0; i < 100; i++) {
            expected.append("part ").append(i).append(';').append(".".repeat(i * 20));
        }
        assertEquals(expected.toString(), response.body().toStringUtf8());
    }

    // Peers that do not read.

    /** Guards against responses accumulating in memory for a peer that has stopped reading. */
    @Test
    void serverBoundsUnsentBytesAndClosesThePeer() throws Exception {
        int calls = 400;
        AtomicLong mostUnsent = new AtomicLong();
        List<CompletableFuture<Void>> cancelled = new CopyOnWriteArrayList<>();
        List<CompletableFuture<Void>> sent = new CopyOnWriteArrayList<>();
        CompletableFuture<PeerServer> started = new CompletableFuture<>();
        PeerServer server =
                mPeers.server(
                        SMALL_UNSENT_LIMIT,
                        call -> {
                            cancelled.add(call.cancelled());
                            sent.add(call.respondBody(zeros(256 << 10)));
                            long unsent = started.join().unsentBytes();
                            mostUnsent.accumulateAndGet(unsent, Math::max);
                        });
        started.complete(server);
        try (RawPeer peer = RawPeer.connectAndHandshake(server.port(), RawPeer.clientHello())) {
            // 100 MiB of responses, far above what the sockets buffer.
            try {
                for (int i = 1; i <= calls; i++) {
                    peer.send(RawPeer.call(i, 0));
                }
            } catch (SocketException e) {
                // The server may close the connection before all calls are sent.
            }
            Peers.eventually(() -> server.peers().isEmpty());
        }
        assertTrue(mostUnsent.get() > 0, "there were never any unsent bytes");
        assertTrue(mostUnsent.get() <= MAX_UNSENT_BYTES, () -> mostUnsent + " bytes unsent");
        assertTrue(sent.stream().anyMatch(CompletableFuture::isCompletedExceptionally));
        for (CompletableFuture<Void> each : cancelled) {
            Peers.await(each);
        }
    }

    /**
     * Guards against a peer that has stopped reading, stays below the limit of unsent bytes and so
     * keeps its calls open forever.
     */
    @Test
    void serverClosesAPeerThatReadsNothing() throws Exception {
        ProtocolLimits limits =
                new ProtocolLimits(1 << 20, 8 << 20, 256 << 10, 64 << 20, 600_000, 600_000, 400);
        CompletableFuture<Void> cancelled = new CompletableFuture<>();
        CompletableFuture<CompletableFuture<Void>> sent = new CompletableFuture<>();
        PeerServer server =
                mPeers.server(
                        limits,
                        call -> {
                            var _ = call.cancelled().thenRun(() -> cancelled.complete(null));
                            sent.complete(call.respondBody(zeros(32 << 20)));
                        });
        Hello hello = RawPeer.clientHello().toBuilder().setResponseWindowBytes(1 << 30).build();
        try (RawPeer peer = RawPeer.connectAndHandshake(server.port(), hello)) {
            peer.send(RawPeer.call(1, 0));
            Heartbeat.Builder beat = Heartbeat.newBuilder().setSenderClockNanos(1);
            Frame heartbeat = Frame.newBuilder().setHeartbeat(beat).build();
            // The peer keeps sending, so only the missing write progress shows that it does not
            // read.
            Peers.eventually(
                    () -> {
                        if (!cancelled.isDone()) {
                            peer.send(heartbeat);
                        }
                        return cancelled.isDone();
                    });
            CompletableFuture<Void> part = Peers.await(sent);
            assertThrows(ExecutionException.class, () -> Peers.await(part));
        }
    }

    /** Guards against calls accumulating in memory for a peer that has stopped reading. */
    @Test
    void callsBeyondTheUnsentLimitAreNotRun() throws Exception {
        try (ServerSocket listening = RawPeer.listen()) {
            CompletableFuture<PeerConnection> connecting =
                    mPeers.connector(SMALL_UNSENT_LIMIT, System::nanoTime)
                            .connect(Peers.LOOPBACK, listening.getLocalPort());
            try (RawPeer peer = RawPeer.accept(listening, RawPeer.serverHello())) {
                PeerConnection connection = Peers.await(connecting);
                Outbox outbox = ((ClientConnection) connection).outbox();
                LinkedBlockingQueue<ResponseEnd> refusals = new LinkedBlockingQueue<>();
                // The peer reads nothing, so no more bytes are sent than the socket buffers hold.
                while (refusals.isEmpty()) {
                    RecordedResponse response =
                            RecordedResponse.of(connection, Peers.head("/x"), zeros(200_000));
                    var _ = response.mEnd.thenAccept(refusals::add);
                    assertTrue(outbox.unsentBytes() <= MAX_UNSENT_BYTES);
                }
                ResponseEnd refusal = refusals.take();
                assertEquals(ResultCode.MEMORY_LIMIT_REACHED.number(), refusal.getResultCode());
                assertEquals(Execution.EXECUTION_NOT_RUN, refusal.getExecution());
                assertFalse(
                        connection.closed().isDone(), "the refused calls closed the connection");
                assertTrue(peer.read().orElseThrow().hasCall(), "the first call was not sent");
            }
        }
    }

    /**
     * Guards against reserved bytes that are never released, which would in time reach the limit of
     * unsent bytes and block all calls.
     */
    @Test
    void unsentBytesReturnToZero() throws Exception {
        PeerServer server =
                mPeers.server(
                        SMALL_WINDOW,
                        call -> {
                            switch (call.head().getPath()) {
                                case "/echo" -> Peers.echo(call);
                                case "/ignored" -> {
                                    call.respondEnd(Peers.success());
                                    var _ = call.respondBody(zeros(50_000));
                                    call.respondEnd(Peers.success());
                                }
                                default -> {
                                    var _ = call.respondBody(zeros(50_000));
                                }
                            }
                        });
        PeerConnection connection = mPeers.connect(SMALL_WINDOW, server.port());
        Outbox outbox = ((ClientConnection) connection).outbox();
        for (int i = 0; i < 50; i++) {
            RecordedResponse echoed =
                    RecordedResponse.of(connection, Peers.head("/echo"), zeros(90_000));
            RecordedResponse ignored =
                    RecordedResponse.of(connection, Peers.head("/ignored"), zeros(5));
            RecordedResponse cancelled = new RecordedResponse(true);
            cancelled.start(connection, Peers.head("/cancelled"), zeros(500_000)).cancel();
            RecordedResponse unconsumed = new RecordedResponse(false);
            OutboundCall open = unconsumed.start(connection, Peers.head("/open"), zeros(5));
            Peers.await(echoed.mEnd);
            Peers.await(ignored.mEnd);
            Peers.eventually(() -> unconsumed.bytes() > 0);
            open.cancel();
        }
        Peers.eventually(() -> outbox.unsentBytes() == 0);
        Peers.eventually(() -> server.unsentBytes() == 0);
    }

    // Request bodies.

    /**
     * Guards against a request body above the limit that is buffered or that breaks the connection.
     */
    @Test
    void bodyAboveTheLimitIsNotRun() throws Exception {
        PeerServer server = mPeers.server(Peers::echo);
        PeerConnection connection = mPeers.connect(server.port());
        RecordedResponse large =
                RecordedResponse.of(connection, Peers.head("/x"), zeros((8 << 20) + 1));
        ResponseEnd end = Peers.await(large.mEnd);
        assertEquals(ResultCode.BODY_TOO_LARGE.number(), end.getResultCode());
        assertEquals(Execution.EXECUTION_NOT_RUN, end.getExecution());
        RecordedResponse next = RecordedResponse.of(connection, Peers.head("/x"), zeros(8 << 20));
        assertEquals(0, Peers.await(next.mEnd).getResultCode());
    }

    /** Guards against many incomplete request bodies that together exhaust the memory. */
    @Test
    void unfinishedBodiesAreBounded() throws Exception {
        PeerServer server = mPeers.server(Peers::echo);
        try (RawPeer peer = RawPeer.connectAndHandshake(server.port(), RawPeer.clientHello())) {
            for (int callId = 1; callId <= 3; callId++) {
                peer.send(RawPeer.call(callId, 8 << 20));
                peer.send(RawPeer.callBody(callId, 1, false));
            }
            peer.send(RawPeer.call(4, 8 << 20));
            ResponseEnd end = peer.read().orElseThrow().getResponseEnd();
            assertEquals(4, end.getCallId());
            assertEquals(ResultCode.MEMORY_LIMIT_REACHED.number(), end.getResultCode());
            assertEquals(Execution.EXECUTION_NOT_RUN, end.getExecution());

            // Cancelling a call releases the bytes of its body for another call.
            peer.send(Frame.newBuilder().setCancel(Cancel.newBuilder().setCallId(1)).build());
            peer.send(RawPeer.call(5, 1000));
            peer.send(RawPeer.callBody(5, 1000, true));
            assertTrue(peer.read().orElseThrow().hasResponseHead());
        }
    }

    /** Guards against a long body that delays short calls on the same connection. */
    @Test
    void shortCallIsNotDelayedByALongBody() throws Exception {
        try (ServerSocket listening = RawPeer.listen()) {
            CompletableFuture<PeerConnection> connecting =
                    mPeers.connector(Peers.WITHOUT_TIMERS, System::nanoTime)
                            .connect(Peers.LOOPBACK, listening.getLocalPort());
            try (RawPeer peer = RawPeer.accept(listening, RawPeer.serverHello())) {
                PeerConnection connection = Peers.await(connecting);
                RecordedResponse.of(connection, Peers.head("/long"), zeros(20 << 20));
                assertEquals("/long", peer.read().orElseThrow().getCall().getPath());
                // The peer reads nothing meanwhile, and the socket buffers cannot hold the whole
                // long body, so part of it is still unsent.
                RecordedResponse.of(connection, Peers.head("/short"), zeros(100));
                boolean longBodyHasEnded = false;
                boolean shortBodyHasEnded = false;
                while (!shortBodyHasEnded) {
                    CallBody part = peer.read().orElseThrow().getCallBody();
                    longBodyHasEnded |= part.getCallId() == 1 && part.getLast();
                    shortBodyHasEnded = part.getCallId() == 2 && part.getLast();
                }
                assertFalse(longBodyHasEnded, "the short call was sent after the whole long body");
            }
        }
    }
}
