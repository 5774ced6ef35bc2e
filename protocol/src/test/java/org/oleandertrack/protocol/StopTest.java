package org.oleandertrack.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.Peers.ControlRecorder;
import org.oleandertrack.protocol.Peers.RecordedResponse;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Leaving;

/** Starting and stopping a server. */
final class StopTest {

    /** Heartbeats so frequent that the server probably has unread bytes when it closes. */
    private static final ProtocolLimits FREQUENT_HEARTBEATS =
            new ProtocolLimits(1 << 20, 8 << 20, 256 << 10, 32 << 20, 600_000, 1, 600_000);

    private final Peers mPeers = new Peers();

    @AfterEach
    void stop() {
        mPeers.close();
    }

    /**
     * Guards against a stop that sends an empty frame last, which the peer reports as malformed.
     */
    @Test
    void stopSendsNoEmptyFrame() throws Exception {
        PeerServer server = mPeers.server(ProtocolLimits.defaults(), call -> {});
        try (RawPeer peer = RawPeer.connectAndHandshake(server.port(), RawPeer.clientHello())) {
            server.stop();

            for (Optional<Frame> frame = peer.read(); frame.isPresent(); frame = peer.read()) {
                assertNotEquals(Frame.PayloadCase.PAYLOAD_NOT_SET, frame.get().getPayloadCase());
            }
        }
    }

    /**
     * Guards against a stop that drops the end of a response that has just been submitted
     * (invariant I9).
     */
    @Test
    void stopAfterTheLastCallLosesNoAnswer() throws Exception {
        ByteString body = ByteString.copyFrom(new byte[200_000]);
        for (int round = 0; round < 10; round++) {
            LinkedBlockingQueue<InboundCall> arrived = new LinkedBlockingQueue<>();
            PeerServer server = mPeers.server(FREQUENT_HEARTBEATS, arrived::add);
            List<RecordedResponse> responses = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                PeerConnection connection = mPeers.connect(FREQUENT_HEARTBEATS, server.port());
                responses.add(RecordedResponse.of(connection, Peers.head("/x"), ByteString.EMPTY));
            }
            for (int i = 0; i < responses.size(); i++) {
                InboundCall call = arrived.poll(Peers.WAIT_SECONDS, TimeUnit.SECONDS);
                var _ = call.respondBody(body);
                call.respondEnd(Peers.success());
            }
            Peers.eventually(() -> server.openCalls() == 0);

            server.stop();

            for (RecordedResponse response : responses) {
                assertEquals(0, Peers.await(response.mEnd).getResultCode());
                assertEquals(body, response.body());
                assertFalse(response.mLost.isDone());
            }
        }
    }

    /**
     * Guards against a Leaving frame that is dropped when the server stops right after sending it.
     */
    @Test
    void broadcastBeforeStopArrives() throws Exception {
        PeerServer server = mPeers.server(Peers::echo);
        ControlRecorder controls = new ControlRecorder();
        PeerConnector connector =
                mPeers.stopAfterTest(
                        new PeerConnector(
                                Peers.CLIENT_NODE,
                                Peers.WITHOUT_TIMERS,
                                controls,
                                System::nanoTime));
        PeerConnection connection = Peers.await(connector.connect(Peers.LOOPBACK, server.port()));
        server.broadcast(Frame.newBuilder().setLeaving(Leaving.getDefaultInstance()).build());
        server.stop();
        Peers.await(connection.closed());
        assertTrue(controls.next().mFrame().hasLeaving());
    }

    /**
     * Guards against a shutdown that stops waiting for open calls while some of them are still
     * arriving or being answered.
     */
    @Test
    void openCallsCountsCallsUntilTheirEndIsWritten() throws Exception {
        LinkedBlockingQueue<InboundCall> arrived = new LinkedBlockingQueue<>();
        PeerServer server = mPeers.server(arrived::add);
        try (RawPeer peer = RawPeer.connectAndHandshake(server.port(), RawPeer.clientHello())) {
            assertEquals(0, server.openCalls());
            peer.send(RawPeer.call(1, 10));
            peer.send(RawPeer.call(2, 0));
            InboundCall second = arrived.poll(Peers.WAIT_SECONDS, TimeUnit.SECONDS);
            assertEquals(2, server.openCalls());
            second.respondEnd(Peers.success());
            assertTrue(peer.read().orElseThrow().hasResponseEnd());
            Peers.eventually(() -> server.openCalls() == 1);
            peer.send(RawPeer.callBody(1, 10, true));
            InboundCall first = arrived.poll(Peers.WAIT_SECONDS, TimeUnit.SECONDS);
            // The body is one byte larger than the window, so the end cannot be sent yet.
            var _ = first.respondBody(ByteString.copyFrom(new byte[(256 << 10) + 1]));
            first.respondEnd(Peers.success());
            int received = 0;
            while (received < 256 << 10) {
                received += peer.read().orElseThrow().getResponseBody().getData().size();
            }
            assertEquals(1, server.openCalls());
        }
        Peers.eventually(() -> server.openCalls() == 0);
    }

    /** Guards against a stop that hangs when a peer does not close its side of the connection. */
    @Test
    void stopDoesNotWaitForAPeerThatStaysOpen() throws Exception {
        PeerServer server = mPeers.server(Peers::echo);
        try (RawPeer peer = RawPeer.connectAndHandshake(server.port(), RawPeer.clientHello())) {
            server.stop();
            peer.readUntilClosed();
        }
        assertThrows(IllegalStateException.class, server::port);
        server.stop();
    }

    /** Guards against a process that starts without an error although its address is in use. */
    @Test
    void addressInUseIsReported() throws Exception {
        PeerServer first = mPeers.server(Peers::echo);
        PeerServer second =
                new PeerServer(
                        Peers.SERVER_NODE,
                        Peers.WITHOUT_TIMERS,
                        Peers::echo,
                        new ControlRecorder(),
                        System::nanoTime);
        ResultException failure =
                assertThrows(
                        ResultException.class, () -> second.start(Peers.LOOPBACK, first.port()));
        assertEquals(ResultCode.ADDRESS_IN_USE, failure.code());
        second.stop();
    }
}
