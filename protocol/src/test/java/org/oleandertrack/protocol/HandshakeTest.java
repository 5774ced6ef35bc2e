package org.oleandertrack.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.Peers.RecordedResponse;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Hello;
import org.oleandertrack.protocol.message.Leaving;
import org.oleandertrack.protocol.message.Reject;
import org.oleandertrack.protocol.message.Role;

/** Peers that use another version, send no Hello or send an invalid first frame. */
final class HandshakeTest {

    private static final ProtocolLimits SHORT_HANDSHAKE_TIMEOUT = withHandshakeTimeoutMillis(500);

    /** Long enough for a handshake to succeed on a busy machine. */
    private static final ProtocolLimits LONG_HANDSHAKE_TIMEOUT = withHandshakeTimeoutMillis(3_000);

    private final Peers mPeers = new Peers();

    @AfterEach
    void stop() {
        mPeers.close();
    }

    private static ProtocolLimits withHandshakeTimeoutMillis(int handshakeMillis) {
        return new ProtocolLimits(
                1 << 20, 8 << 20, 256 << 10, 32 << 20, handshakeMillis, 600_000, 600_000);
    }

    private int rejectCodeFor(Hello hello) throws Exception {
        PeerServer server = mPeers.server(Peers::echo);
        try (RawPeer peer = RawPeer.connect(server.port())) {
            peer.send(Frame.newBuilder().setHello(hello).build());
            int code = peer.readReject();
            assertTrue(server.peers().isEmpty(), "a rejected peer is among the server's peers");
            return code;
        }
    }

    private static ResultCode failureCodeOf(CompletableFuture<PeerConnection> connecting) {
        ExecutionException failure =
                assertThrows(ExecutionException.class, () -> Peers.await(connecting));
        return assertInstanceOf(ResultException.class, failure.getCause()).code();
    }

    // Servers.

    /** Guards against exchanging frames with a peer that interprets them differently. */
    @ParameterizedTest
    @ValueSource(ints = {0, ProtocolVersion.MAJOR + 1, -1})
    void serverRefusesAnotherMajorVersion(int major) throws Exception {
        Hello hello = RawPeer.clientHello().toBuilder().setMajorVersion(major).build();
        assertEquals(ResultCode.UNSUPPORTED_VERSION.number(), rejectCodeFor(hello));
    }

    /** Guards against a rolling update in which a new minor version disconnects peers. */
    @Test
    void serverAcceptsALaterMinorVersionAndItsUnknownFrames() throws Exception {
        PeerServer server = mPeers.server(Peers::echo);
        Hello hello = RawPeer.clientHello().toBuilder().setMinorVersion(9).build();
        try (RawPeer peer = RawPeer.connectAndHandshake(server.port(), hello)) {
            // A frame with the unknown field 100, length-delimited and empty, such as a later minor
            // version may send.
            peer.sendBytes((byte) 3, (byte) 0xa2, (byte) 0x06, (byte) 0);
            peer.send(RawPeer.call(1, 0));
            assertTrue(peer.read().orElseThrow().hasResponseHead());
        }
    }

    /**
     * Guards against accepting a Hello whose values break fencing, framing or flow control later.
     */
    @Test
    void serverRefusesAnUnusableHello() throws Exception {
        Hello good = RawPeer.clientHello();
        int malformed = ResultCode.MALFORMED_FRAME.number();
        assertEquals(malformed, rejectCodeFor(good.toBuilder().setIncarnation(0).build()));
        assertEquals(
                malformed, rejectCodeFor(good.toBuilder().setRole(Role.ROLE_UNSPECIFIED).build()));
        assertEquals(malformed, rejectCodeFor(good.toBuilder().setRoleValue(99).build()));
        assertEquals(malformed, rejectCodeFor(good.toBuilder().setMaxFrameBytes(100).build()));
        assertEquals(malformed, rejectCodeFor(good.toBuilder().setResponseWindowBytes(0).build()));
    }

    /** Guards against delivering calls from a peer that has not identified itself. */
    @Test
    void serverRefusesACallBeforeHello() throws Exception {
        PeerServer server =
                mPeers.server(
                        call -> {
                            throw new AssertionError("a call without a handshake was delivered");
                        });
        try (RawPeer peer = RawPeer.connect(server.port())) {
            peer.send(RawPeer.call(1, 0));
            assertEquals(ResultCode.MALFORMED_FRAME.number(), peer.readReject());
        }
    }

    /** Guards against sockets that silent peers keep open forever. */
    @Test
    void serverClosesASilentPeer() throws Exception {
        PeerServer server = mPeers.server(SHORT_HANDSHAKE_TIMEOUT, Peers::echo);
        try (RawPeer peer = RawPeer.connect(server.port())) {
            assertEquals(ResultCode.HANDSHAKE_TIMEOUT.number(), peer.readReject());
        }
    }

    /** Guards against a handshake timeout that any byte extends, rather than only a whole Hello. */
    @Test
    void serverClosesAPeerThatSendsPartOfAHello() throws Exception {
        PeerServer server = mPeers.server(SHORT_HANDSHAKE_TIMEOUT, Peers::echo);
        try (RawPeer peer = RawPeer.connect(server.port())) {
            peer.sendBytes((byte) 60, (byte) 0x0a);
            assertEquals(ResultCode.HANDSHAKE_TIMEOUT.number(), peer.readReject());
        }
    }

    /** Guards against a handshake timeout that closes connections after a successful handshake. */
    @Test
    void handshakeTimeoutLeavesEstablishedConnectionsOpen() throws Exception {
        PeerServer server = mPeers.server(LONG_HANDSHAKE_TIMEOUT, Peers::echo);
        PeerConnection connection = mPeers.connect(LONG_HANDSHAKE_TIMEOUT, server.port());
        try (RawPeer silent = RawPeer.connect(server.port())) {
            // This peer connects later, so when it times out, the timeout of the first connection
            // has passed as well.
            assertEquals(ResultCode.HANDSHAKE_TIMEOUT.number(), silent.readReject());
        }
        RecordedResponse response =
                RecordedResponse.of(connection, Peers.head("/x"), ByteString.EMPTY);
        assertEquals(0, Peers.await(response.mEnd).getResultCode());
    }

    // Connectors.

    /** Guards against a failed connect that does not report the unsupported version. */
    @Test
    void connectorRefusesALaterMajorVersion() throws Exception {
        try (ServerSocket listening = RawPeer.listen()) {
            CompletableFuture<PeerConnection> connecting =
                    connectTo(Peers.WITHOUT_TIMERS, listening);
            Hello later =
                    RawPeer.serverHello().toBuilder()
                            .setMajorVersion(ProtocolVersion.MAJOR + 1)
                            .build();
            try (RawPeer peer = RawPeer.accept(listening, later)) {
                assertEquals(ResultCode.UNSUPPORTED_VERSION.number(), peer.readReject());
            }
            assertEquals(ResultCode.UNSUPPORTED_VERSION, failureCodeOf(connecting));
        }
    }

    /** Guards against a connect that waits forever for a process that hangs. */
    @Test
    void connectFailsWhenThePeerSendsNoHello() throws Exception {
        try (ServerSocket listening = RawPeer.listen()) {
            CompletableFuture<PeerConnection> connecting =
                    connectTo(SHORT_HANDSHAKE_TIMEOUT, listening);
            try (RawPeer peer = RawPeer.accept(listening)) {
                assertEquals(ResultCode.HANDSHAKE_TIMEOUT, failureCodeOf(connecting));
                assertTrue(peer.read().orElseThrow().hasHello());
            }
        }
    }

    /**
     * Guards against a failed connect that does not report the result code in the peer's Reject.
     */
    @Test
    void connectorReportsThePeersRejectCode() throws Exception {
        try (ServerSocket listening = RawPeer.listen()) {
            CompletableFuture<PeerConnection> connecting =
                    connectTo(Peers.WITHOUT_TIMERS, listening);
            try (RawPeer peer = RawPeer.accept(listening)) {
                Reject.Builder reject =
                        Reject.newBuilder().setCode(ResultCode.UNSUPPORTED_VERSION.number());
                peer.send(Frame.newBuilder().setReject(reject).build());
                assertEquals(ResultCode.UNSUPPORTED_VERSION, failureCodeOf(connecting));
            }
        }
    }

    /** Guards against a connect that hangs when the peer closes during the handshake. */
    @Test
    void connectorReportsACloseDuringTheHandshake() throws Exception {
        try (ServerSocket listening = RawPeer.listen()) {
            CompletableFuture<PeerConnection> connecting =
                    connectTo(Peers.WITHOUT_TIMERS, listening);
            RawPeer.accept(listening).close();
            assertThrows(ExecutionException.class, () -> Peers.await(connecting));
        }
    }

    /** Guards against a connect that hangs when nobody listens or the connector has stopped. */
    @Test
    void connectorReportsAnUnreachablePeer() throws Exception {
        int port;
        try (ServerSocket listening = RawPeer.listen()) {
            port = listening.getLocalPort();
        }
        PeerConnector connector = mPeers.connector(Peers.WITHOUT_TIMERS, System::nanoTime);
        ExecutionException refused =
                assertThrows(
                        ExecutionException.class,
                        () -> Peers.await(connector.connect(Peers.LOOPBACK, port)));
        assertInstanceOf(IOException.class, refused.getCause());

        connector.stop();
        assertThrows(
                ExecutionException.class,
                () -> Peers.await(connector.connect(Peers.LOOPBACK, port)));
    }

    /** Guards against completing the handshake with a first frame other than Hello. */
    @Test
    void connectorRefusesAFirstFrameOtherThanHello() throws Exception {
        try (ServerSocket listening = RawPeer.listen()) {
            CompletableFuture<PeerConnection> connecting =
                    connectTo(Peers.WITHOUT_TIMERS, listening);
            try (RawPeer peer = RawPeer.accept(listening)) {
                peer.send(Frame.newBuilder().setLeaving(Leaving.getDefaultInstance()).build());
                assertEquals(ResultCode.MALFORMED_FRAME.number(), peer.readReject());
            }
            assertEquals(ResultCode.MALFORMED_FRAME, failureCodeOf(connecting));
        }
    }

    private CompletableFuture<PeerConnection> connectTo(
            ProtocolLimits limits, ServerSocket listening) {
        CompletableFuture<PeerConnection> connecting =
                mPeers.connector(limits, System::nanoTime)
                        .connect(Peers.LOOPBACK, listening.getLocalPort());
        assertFalse(connecting.isDone(), "the connect completed before the peer sent its Hello");
        return connecting;
    }
}
