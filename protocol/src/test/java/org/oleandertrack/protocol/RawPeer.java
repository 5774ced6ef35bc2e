package org.oleandertrack.protocol;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.CallBody;
import org.oleandertrack.protocol.message.Credit;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Hello;
import org.oleandertrack.protocol.message.Role;

/** One end of a connection on a plain socket, with which a test can violate the protocol. */
final class RawPeer implements AutoCloseable {

    private final Socket mSocket;

    private RawPeer(Socket socket) throws IOException {
        mSocket = socket;
        // Only a test that hangs reaches this timeout.
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Peers.WAIT_SECONDS));
    }

    /** Connects to a server. The small receive buffer leaves unread bytes at the server. */
    static RawPeer connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(16 << 10);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        return new RawPeer(socket);
    }

    /** Connects to a server and completes the handshake. */
    static RawPeer connectAndHandshake(int port, Hello hello) throws IOException {
        RawPeer peer = connect(port);
        peer.send(Frame.newBuilder().setHello(hello).build());
        Frame first = peer.read().orElseThrow();
        if (!first.hasHello()) {
            throw new AssertionError("expected Hello, received " + first);
        }
        return peer;
    }

    /** Listens for connectors on a free port of the loopback address. */
    static ServerSocket listen() throws IOException {
        ServerSocket listening = new ServerSocket();
        listening.setReceiveBufferSize(16 << 10);
        listening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return listening;
    }

    /** Accepts a connection and neither reads nor sends a Hello. */
    static RawPeer accept(ServerSocket listening) throws IOException {
        return new RawPeer(listening.accept());
    }

    /** Accepts a connection and completes the handshake. */
    static RawPeer accept(ServerSocket listening, Hello hello) throws IOException {
        RawPeer peer = accept(listening);
        Frame first = peer.read().orElseThrow();
        if (!first.hasHello()) {
            throw new AssertionError("expected Hello, received " + first);
        }
        peer.send(Frame.newBuilder().setHello(hello).build());
        return peer;
    }

    static Hello.Builder hello(LocalNode node) {
        return Hello.newBuilder()
                .setMajorVersion(ProtocolVersion.MAJOR)
                .setNode(node.node())
                .setRole(node.role())
                .setIncarnation(node.incarnation())
                .setZone(node.zone())
                .setMaxFrameBytes(1 << 20)
                .setResponseWindowBytes(256 << 10);
    }

    static Hello clientHello() {
        return hello(Peers.CLIENT_NODE).setRole(Role.ROLE_ENTRY).build();
    }

    static Hello serverHello() {
        return hello(Peers.SERVER_NODE).setRole(Role.ROLE_SIDECAR).build();
    }

    static Frame call(long callId, int bodyBytes) {
        Call.Builder call =
                Peers.head("/raw").toBuilder()
                        .setCallId(callId)
                        .setReceiverIncarnation(Peers.SERVER_INCARNATION)
                        .setBodyBytes(bodyBytes);
        return Frame.newBuilder().setCall(call).build();
    }

    static Frame callBody(long callId, int bytes, boolean last) {
        CallBody.Builder body =
                CallBody.newBuilder()
                        .setCallId(callId)
                        .setData(ByteString.copyFrom(new byte[bytes]))
                        .setLast(last);
        return Frame.newBuilder().setCallBody(body).build();
    }

    static Frame credit(long callId, int bytes) {
        return Frame.newBuilder()
                .setCredit(Credit.newBuilder().setCallId(callId).setBytes(bytes))
                .build();
    }

    void send(Frame frame) throws IOException {
        OutputStream out = mSocket.getOutputStream();
        frame.writeDelimitedTo(out);
        out.flush();
    }

    void sendBytes(byte... bytes) throws IOException {
        mSocket.getOutputStream().write(bytes);
        mSocket.getOutputStream().flush();
    }

    /** Reads the next frame. Returns empty if the other side has closed the connection. */
    Optional<Frame> read() throws IOException {
        InputStream in = mSocket.getInputStream();
        return Optional.ofNullable(Frame.parseDelimitedFrom(in));
    }

    /** Reads frames up to the Reject that ends the connection, and returns its code. */
    int readReject() throws IOException {
        while (true) {
            Frame frame =
                    read().orElseThrow(
                                    () ->
                                            new AssertionError(
                                                    "the connection was closed without a Reject"));
            if (frame.hasReject()) {
                if (read().isPresent()) {
                    throw new AssertionError("received a frame after the Reject");
                }
                return frame.getReject().getCode();
            }
        }
    }

    /** Reads and discards all bytes until the other side closes or resets the connection. */
    void readUntilClosed() throws IOException {
        try {
            mSocket.getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (SocketException e) {
            // A reset counts as a close.
        }
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
