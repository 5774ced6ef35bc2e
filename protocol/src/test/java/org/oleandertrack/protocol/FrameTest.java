package org.oleandertrack.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.net.ServerSocket;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.Peers.RecordedResponse;
import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.ConfigChange;
import org.oleandertrack.protocol.message.ConfigPush;
import org.oleandertrack.protocol.message.Execution;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Header;
import org.oleandertrack.protocol.message.Hello;
import org.oleandertrack.protocol.message.ResponseBody;
import org.oleandertrack.protocol.message.ResponseEnd;
import org.oleandertrack.protocol.message.ResponseHead;

/** Frames that are truncated, too large, undecodable or invalid in the connection's state. */
final class FrameTest {

    private static final int SMALL_FRAME_BYTES = 4 << 10;
    private static final ProtocolLimits SMALL_FRAMES =
            Peers.WITHOUT_TIMERS.withMaxFrameBytes(SMALL_FRAME_BYTES);

    private final Peers mPeers = new Peers();
    private final AtomicInteger mDelivered = new AtomicInteger();

    @AfterEach
    void stop() {
        mPeers.close();
    }

    private PeerServer server(ProtocolLimits limits) {
        return mPeers.server(
                limits,
                call -> {
                    mDelivered.incrementAndGet();
                    Peers.echo(call);
                });
    }

    private static byte[] encoded(Frame frame) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        frame.writeDelimitedTo(out);
        return out.toByteArray();
    }

    private int rejectCodeFor(Frame... frames) throws Exception {
        PeerServer server = server(Peers.WITHOUT_TIMERS);
        try (RawPeer peer = RawPeer.connectAndHandshake(server.port(), RawPeer.clientHello())) {
            for (Frame frame : frames) {
                peer.send(frame);
            }
            return peer.readReject();
        }
    }

    // Framing.

    /** Guards against delivering a call whose frame is truncated, at every possible byte. */
    @Test
    void frameCutShortIsNotDelivered() throws Exception {
        PeerServer server = server(Peers.WITHOUT_TIMERS);
        PeerConnection other = mPeers.connect(server.port());
        byte[] bytes = encoded(RawPeer.call(1, 0));
        for (int length = 1; length < bytes.length; length++) {
            try (RawPeer peer = RawPeer.connectAndHandshake(server.port(), RawPeer.clientHello())) {
                peer.sendBytes(Arrays.copyOf(bytes, length));
            }
        }
        Peers.eventually(() -> server.peers().size() == 1);
        assertEquals(0, mDelivered.get());
        RecordedResponse response = RecordedResponse.of(other, Peers.head("/x"), ByteString.EMPTY);
        assertEquals(0, Peers.await(response.mEnd).getResultCode());
    }

    /** Guards against misreading a frame that arrives in several pieces. */
    @Test
    void frameInSingleBytesIsDelivered() throws Exception {
        PeerServer server = server(Peers.WITHOUT_TIMERS);
        try (RawPeer peer = RawPeer.connectAndHandshake(server.port(), RawPeer.clientHello())) {
            for (byte next : encoded(RawPeer.call(1, 0))) {
                peer.sendBytes(next);
            }
            assertTrue(peer.read().orElseThrow().hasResponseHead());
        }
    }

    /** Guards against a receiver that buffers as many bytes as a length prefix announces. */
    @Test
    void oversizedFrameIsRefusedByItsLengthAlone() throws Exception {
        PeerServer server = server(SMALL_FRAMES);
        try (RawPeer peer = RawPeer.connectAndHandshake(server.port(), RawPeer.clientHello())) {
            // The length 4,097, one more than the limit. The frame's content is never sent.
            peer.sendBytes((byte) 0x81, (byte) 0x20);
            assertEquals(ResultCode.FRAME_TOO_LARGE.number(), peer.readReject());
        }
    }

    /** Guards against a Reject that is lost while the sender is still writing a large frame. */
    @Test
    void senderOfAnOversizedFrameReadsTheReject() throws Exception {
        PeerServer server = server(SMALL_FRAMES);
        try (RawPeer peer = RawPeer.connectAndHandshake(server.port(), RawPeer.clientHello())) {
            // More than the socket buffers hold, so the Reject is sent while this side still
            // writes.
            peer.send(RawPeer.callBody(1, 16 << 20, true));
            assertEquals(ResultCode.FRAME_TOO_LARGE.number(), peer.readReject());
        }
    }

    /** Guards against a frame limit that is off by one byte. */
    @Test
    void frameOfTheLargestSizeIsAccepted() throws Exception {
        PeerServer server = server(SMALL_FRAMES);
        Call plain = RawPeer.call(1, 0).getCall();
        int maxPathLength = SMALL_FRAME_BYTES - 3;
        Frame frame = RawPeer.call(1, 0);
        String path = "p";
        while (frame.getSerializedSize() < SMALL_FRAME_BYTES && path.length() < maxPathLength) {
            path += "p";
            frame = Frame.newBuilder().setCall(plain.toBuilder().setPath(path)).build();
        }
        assertEquals(SMALL_FRAME_BYTES, frame.getSerializedSize());
        try (RawPeer peer = RawPeer.connectAndHandshake(server.port(), RawPeer.clientHello())) {
            peer.send(frame);
            assertTrue(peer.read().orElseThrow().hasResponseHead());
        }
    }

    /** Guards against skipping bytes that are not a valid length or protobuf message. */
    @Test
    void malformedFrameIsRefused() throws Exception {
        byte[][] malformed = {
            // A field of 5 bytes of which only 1 follows.
            {3, 0x1a, 5, 0},
            // A field with the reserved wire type 7.
            {1, 0x0f},
            // The end of a group that was not started.
            {1, 0x0c},
            // A frame of length zero.
            {0},
            // A length encoded in more than five bytes.
            {-1, -1, -1, -1, -1, -1},
            // A negative length.
            {-1, -1, -1, -1, 0x0f},
        };
        for (byte[] bytes : malformed) {
            PeerServer server = server(Peers.WITHOUT_TIMERS);
            try (RawPeer peer = RawPeer.connectAndHandshake(server.port(), RawPeer.clientHello())) {
                peer.sendBytes(bytes);
                assertEquals(
                        ResultCode.MALFORMED_FRAME.number(),
                        peer.readReject(),
                        () -> Arrays.toString(bytes));
            }
        }
        assertEquals(0, mDelivered.get());
    }

    // Frames that do not fit the state of the connection.

    /** Guards against accepting frames in the wrong direction, of unknown calls or out of order. */
    @Test
    void frameInTheWrongStateIsRefused() throws Exception {
        int malformed = ResultCode.MALFORMED_FRAME.number();
        Hello hello = RawPeer.clientHello();
        assertEquals(malformed, rejectCodeFor(Frame.newBuilder().setHello(hello).build()));
        assertEquals(malformed, rejectCodeFor(RawPeer.callBody(1, 1, true)));
        assertEquals(malformed, rejectCodeFor(RawPeer.credit(1, 1)));
        assertEquals(malformed, rejectCodeFor(RawPeer.call(0, 0)));
        assertEquals(malformed, rejectCodeFor(RawPeer.call(2, 0), RawPeer.call(2, 0)));
        assertEquals(malformed, rejectCodeFor(RawPeer.call(2, 0), RawPeer.call(1, 0)));
        ResponseEnd.Builder end = ResponseEnd.newBuilder().setCallId(1);
        assertEquals(malformed, rejectCodeFor(Frame.newBuilder().setResponseEnd(end).build()));
    }

    /** Guards against a body that is shorter or longer than the call's head announces. */
    @Test
    void bodyWithAWrongLengthIsRefused() throws Exception {
        int malformed = ResultCode.MALFORMED_FRAME.number();
        assertEquals(malformed, rejectCodeFor(RawPeer.call(1, 9), RawPeer.callBody(1, 8, true)));
        assertEquals(malformed, rejectCodeFor(RawPeer.call(1, 9), RawPeer.callBody(1, 10, true)));
        assertEquals(malformed, rejectCodeFor(RawPeer.call(1, 9), RawPeer.callBody(1, 9, false)));
        assertEquals(malformed, rejectCodeFor(RawPeer.call(1, 9), RawPeer.callBody(1, 0, false)));
        assertEquals(0, mDelivered.get());
    }

    /** Guards against ignoring a response whose call id was never used. */
    @Test
    void responseToACallThatWasNeverSentIsRefused() throws Exception {
        try (ServerSocket listening = RawPeer.listen()) {
            CompletableFuture<PeerConnection> connecting =
                    mPeers.connector(Peers.WITHOUT_TIMERS, System::nanoTime)
                            .connect(Peers.LOOPBACK, listening.getLocalPort());
            try (RawPeer peer = RawPeer.accept(listening, RawPeer.serverHello())) {
                PeerConnection connection = Peers.await(connecting);
                RecordedResponse response =
                        RecordedResponse.of(connection, Peers.head("/x"), ByteString.EMPTY);
                assertEquals(1, peer.read().orElseThrow().getCall().getCallId());
                ResponseEnd.Builder end = ResponseEnd.newBuilder().setCallId(2);
                peer.send(Frame.newBuilder().setResponseEnd(end).build());
                assertEquals(ResultCode.MALFORMED_FRAME.number(), peer.readReject());
                assertTrue(Peers.await(response.mLost));
            }
        }
    }

    // Frames that exceed the peer's frame limit.

    /**
     * Guards against sending a call head that the peer rejects, which would close the connection.
     */
    @Test
    void callWhoseHeadExceedsThePeersFrameLimitIsNotRun() throws Exception {
        PeerServer server = server(SMALL_FRAMES);
        PeerConnection connection = mPeers.connect(server.port());
        Call head = Peers.head("/" + "x".repeat(SMALL_FRAME_BYTES));
        ByteString body = ByteString.copyFromUtf8("body");

        ResponseEnd end = Peers.await(RecordedResponse.of(connection, head, body).mEnd);

        assertEquals(ResultCode.FRAME_TOO_LARGE.number(), end.getResultCode());
        assertEquals(Execution.EXECUTION_NOT_RUN, end.getExecution());
        assertEquals(0, ((ClientConnection) connection).outbox().unsentBytes());
        RecordedResponse next = RecordedResponse.of(connection, Peers.head("/x"), body);
        assertEquals(0, Peers.await(next.mEnd).getResultCode());
        assertEquals(1, mDelivered.get());
    }

    /** Guards against splitting bodies by the local frame limit rather than the peer's. */
    @Test
    void bodiesAreSplitByThePeersFrameLimit() throws Exception {
        PeerServer server = server(SMALL_FRAMES);
        PeerConnection connection = mPeers.connect(server.port());
        ByteString body = ByteString.copyFrom(new byte[100_000]);
        RecordedResponse response = RecordedResponse.of(connection, Peers.head("/x"), body);
        assertEquals(0, Peers.await(response.mEnd).getResultCode());
        assertEquals(body, response.body());
    }

    /**
     * Guards against sending a response head that the caller rejects, which would close the
     * connection.
     */
    @Test
    void responseWhoseHeadExceedsThePeersFrameLimitEndsTheCall() throws Exception {
        CompletableFuture<Void> cancelled = new CompletableFuture<>();
        PeerServer server =
                mPeers.server(
                        call -> {
                            Header.Builder header =
                                    Header.newBuilder()
                                            .setName("n")
                                            .setValue("v".repeat(SMALL_FRAME_BYTES));
                            call.respondHead(ResponseHead.newBuilder().addHeaders(header).build());
                            var _ = call.cancelled().thenRun(() -> cancelled.complete(null));
                        });
        PeerConnection connection = mPeers.connect(SMALL_FRAMES, server.port());
        RecordedResponse response =
                RecordedResponse.of(connection, Peers.head("/x"), ByteString.EMPTY);
        ResponseEnd end = Peers.await(response.mEnd);
        assertEquals(ResultCode.FRAME_TOO_LARGE.number(), end.getResultCode());
        assertEquals(Execution.EXECUTION_UNKNOWN, end.getExecution());
        Peers.await(cancelled);
    }

    /** Guards against sending an end that the caller rejects, which would close the connection. */
    @Test
    void endWhoseMessageExceedsThePeersFrameLimitIsSentWithoutMessage() throws Exception {
        PeerServer server =
                mPeers.server(
                        call ->
                                call.respondEnd(
                                        Peers.success().toBuilder()
                                                .setMessage("m".repeat(SMALL_FRAME_BYTES))
                                                .build()));
        PeerConnection connection = mPeers.connect(SMALL_FRAMES, server.port());
        RecordedResponse response =
                RecordedResponse.of(connection, Peers.head("/x"), ByteString.EMPTY);
        ResponseEnd end = Peers.await(response.mEnd);
        assertEquals(Execution.EXECUTION_RUN, end.getExecution());
        assertEquals("", end.getMessage());
    }

    /**
     * Guards against sending control frames that the peer rejects, and against sending frames of a
     * call as control frames.
     */
    @Test
    void sendRefusesFramesThatThePeerWouldRefuse() throws Exception {
        PeerServer server = server(SMALL_FRAMES);
        PeerConnection connection = mPeers.connect(server.port());
        ConfigChange.Builder change =
                ConfigChange.newBuilder().setCommand("c".repeat(SMALL_FRAME_BYTES));
        Frame large =
                Frame.newBuilder()
                        .setConfigPush(ConfigPush.newBuilder().addChanges(change))
                        .build();
        ResultException failure = assertThrows(ResultException.class, () -> connection.send(large));
        assertEquals(ResultCode.FRAME_TOO_LARGE, failure.code());
        Frame body = Frame.newBuilder().setResponseBody(ResponseBody.getDefaultInstance()).build();
        assertThrows(IllegalArgumentException.class, () -> connection.send(body));
        RecordedResponse response =
                RecordedResponse.of(connection, Peers.head("/x"), ByteString.EMPTY);
        assertEquals(0, Peers.await(response.mEnd).getResultCode());
    }
}
