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
import org.oleandertrack.protocol.Peers.Answer;
import org.oleandertrack.protocol.Peers.Controls;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Leaving;

/** Start and stop of a server. */
final class StopTest {

    /** Frequent heartbeats, so that unread bytes are likely at the server when it closes. */
    private static final ProtocolLimits FREQUENT =
            new ProtocolLimits(1 << 20, 8 << 20, 256 << 10, 32 << 20, 600_000, 1, 600_000);

    private final Peers mPeers = new Peers();

    @AfterEach
    void stop() {
        mPeers.close();
    }

    /** Guards against a planned stop that ends with a frame that the peer takes for a fault. */
    @Test
    void stopSendsNoEmptyFrame() throws Exception {
        PeerServer server = mPeers.server(ProtocolLimits.defaults(), call -> {});
        try (RawPeer peer = RawPeer.handshaken(server.port(), RawPeer.clientHello())) {
            server.stop();

            for (Optional<Frame> frame = peer.read(); frame.isPresent(); frame = peer.read()) {
                assertNotEquals(Frame.PayloadCase.PAYLOAD_NOT_SET, frame.get().getPayloadCase());
            }
        }
    }

    /** Guards against a planned stop that cuts off answers which were just completed (I9). */
    @Test
    void stopAfterTheLastCallLosesNoAnswer() throws Exception {
        ByteString body = ByteString.copyFrom(new byte[200_000]);
        for (int round = 0; round < 10; round++) {
            LinkedBlockingQueue<InboundCall> arrived = new LinkedBlockingQueue<>();
            PeerServer server = mPeers.server(FREQUENT, arrived::add);
            List<Answer> answers = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                PeerConnection connection = mPeers.connect(FREQUENT, server.port());
                answers.add(Answer.of(connection, Peers.head("/x"), ByteString.EMPTY));
            }
            for (int i = 0; i < answers.size(); i++) {
                InboundCall call = arrived.poll(Peers.WAIT_SECONDS, TimeUnit.SECONDS);
                var _ = call.respondBody(body);
                call.respondEnd(Peers.success());
            }
            Peers.eventually(() -> server.openCalls() == 0);

            server.stop();

            for (Answer answer : answers) {
                assertEquals(0, Peers.await(answer.mEnd).getResultCode());
                assertEquals(body, answer.body());
                assertFalse(answer.mLost.isDone());
            }
        }
    }

    /** Guards against peers that learn of a stop only from a broken connection. */
    @Test
    void broadcastBeforeStopArrives() throws Exception {
        PeerServer server = mPeers.server(Peers::echo);
        Controls controls = new Controls();
        PeerConnector connector =
                mPeers.stopped(
                        new PeerConnector(
                                Peers.CLIENT_NODE, Peers.QUIET, controls, System::nanoTime));
        PeerConnection connection = Peers.await(connector.connect(Peers.LOOPBACK, server.port()));
        server.broadcast(Frame.newBuilder().setLeaving(Leaving.getDefaultInstance()).build());
        server.stop();
        Peers.await(connection.closed());
        assertTrue(controls.next().mFrame().hasLeaving());
    }

    /** Guards against a drain that ends while calls are still arriving or being answered. */
    @Test
    void openCallsCountsCallsUntilTheirEndIsWritten() throws Exception {
        LinkedBlockingQueue<InboundCall> arrived = new LinkedBlockingQueue<>();
        PeerServer server = mPeers.server(arrived::add);
        try (RawPeer peer = RawPeer.handshaken(server.port(), RawPeer.clientHello())) {
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
            // More than the window: the end waits behind it.
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

    /** Guards against a stop that hangs on a peer which does not close its side. */
    @Test
    void stopDoesNotWaitForAPeerThatStaysOpen() throws Exception {
        PeerServer server = mPeers.server(Peers::echo);
        try (RawPeer peer = RawPeer.handshaken(server.port(), RawPeer.clientHello())) {
            server.stop();
            peer.readUntilClosed();
        }
        assertThrows(IllegalStateException.class, server::port);
        server.stop();
    }

    /** Guards against a process that runs on although another one has its address. */
    @Test
    void addressInUseIsReported() throws Exception {
        PeerServer first = mPeers.server(Peers::echo);
        PeerServer second =
                new PeerServer(
                        Peers.SERVER_NODE,
                        Peers.QUIET,
                        Peers::echo,
                        new Controls(),
                        System::nanoTime);
        ResultException failure =
                assertThrows(
                        ResultException.class, () -> second.start(Peers.LOOPBACK, first.port()));
        assertEquals(ResultCode.ADDRESS_IN_USE, failure.code());
        second.stop();
    }
}
