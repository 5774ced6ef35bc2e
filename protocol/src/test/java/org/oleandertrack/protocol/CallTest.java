package org.oleandertrack.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.oleandertrack.protocol.Peers.RecordedResponse;
import org.oleandertrack.protocol.message.Execution;
import org.oleandertrack.protocol.message.Hello;
import org.oleandertrack.protocol.message.ResponseEnd;
import org.oleandertrack.protocol.message.ResponseHead;
import org.oleandertrack.protocol.message.Role;

/** Calls between a connector and a server that both follow the protocol. */
final class CallTest {

    private final Peers mPeers = new Peers();

    @AfterEach
    void stop() {
        mPeers.close();
    }

    /** Guards against Hello fields that do not reach the other side. */
    @Test
    void handshakeTellsBothSidesWhoTheOtherIs() throws Exception {
        PeerServer server = mPeers.server(Peers::echo);
        PeerConnection connection = mPeers.connect(server.port());

        Hello peer = connection.peer();
        assertEquals("sidecar-1", peer.getNode());
        assertEquals(Role.ROLE_SIDECAR, peer.getRole());
        assertEquals(Peers.SERVER_INCARNATION, peer.getIncarnation());
        assertEquals("model-1", peer.getTarget());
        assertEquals("zone-a", peer.getZone());

        RecordedResponse.of(connection, Peers.head("/x"), ByteString.EMPTY).mEnd.join();
        assertEquals(1, server.peers().size());
        assertEquals("entry-1", server.peers().getFirst().getNode());
        assertEquals(Peers.CLIENT_INCARNATION, server.peers().getFirst().getIncarnation());
    }

    /** Guards against bodies that are truncated, reordered or changed when split into frames. */
    @Test
    void bodiesOfManyFramesArriveWhole() throws Exception {
        PeerServer server = mPeers.server(Peers::echo);
        PeerConnection connection = mPeers.connect(server.port());
        for (int size : new int[] {0, 1, 65_535, 65_536, 65_537, 3 << 20, 8 << 20}) {
            byte[] bytes = new byte[size];
            new Random(size).nextBytes(bytes);
            ByteString body = ByteString.copyFrom(bytes);

            RecordedResponse response =
                    RecordedResponse.of(connection, Peers.head("/size/" + size), body);
            ResponseEnd end = Peers.await(response.mEnd);

            assertEquals(0, end.getResultCode());
            assertEquals(Execution.EXECUTION_RUN, end.getExecution());
            assertEquals("/size/" + size, Peers.await(response.mHead).getHeaders(0).getValue());
            assertEquals(body, response.body());
        }
    }

    /** Guards against a listener that receives a second head, or one in the middle of a body. */
    @Test
    void secondHeadIsIgnored() throws Exception {
        PeerServer server =
                mPeers.server(
                        call -> {
                            call.respondHead(ResponseHead.newBuilder().setStatus(200).build());
                            call.respondHead(ResponseHead.newBuilder().setStatus(500).build());
                            var _ = call.respondBody(ByteString.copyFromUtf8("body"));
                            call.respondHead(ResponseHead.newBuilder().setStatus(501).build());
                            call.respondEnd(Peers.success());
                            call.respondEnd(
                                    Peers.success().toBuilder().setMessage("second").build());
                        });
        PeerConnection connection = mPeers.connect(server.port());
        List<String> events = new CopyOnWriteArrayList<>();
        CompletableFuture<Void> ended = new CompletableFuture<>();
        connection.call(
                Peers.head("/x"),
                ByteString.EMPTY,
                new ResponseListener() {
                    @Override
                    public void onHead(ResponseHead head) {
                        events.add("head " + head.getStatus());
                    }

                    @Override
                    public void onBody(ByteString data) {
                        events.add(data.toStringUtf8());
                    }

                    @Override
                    public void onEnd(ResponseEnd end) {
                        events.add("end " + end.getMessage());
                        ended.complete(null);
                    }

                    @Override
                    public void onConnectionLost(boolean mayHaveArrived) {
                        events.add("lost");
                    }
                });
        Peers.await(ended);
        Peers.await(RecordedResponse.of(connection, Peers.head("/x"), ByteString.EMPTY).mEnd);
        assertEquals(List.of("head 200", "body", "end "), events);
    }
}
