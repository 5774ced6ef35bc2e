package org.oleandertrack.protocol;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.awaitility.Awaitility;
import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.CallKind;
import org.oleandertrack.protocol.message.Execution;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Header;
import org.oleandertrack.protocol.message.Hello;
import org.oleandertrack.protocol.message.ResponseEnd;
import org.oleandertrack.protocol.message.ResponseHead;
import org.oleandertrack.protocol.message.Role;

/** Creates servers and connectors on the loopback address and stops them at the end of a test. */
final class Peers implements AutoCloseable {

    static final String LOOPBACK = "127.0.0.1";
    static final long SERVER_INCARNATION = 77;
    static final long CLIENT_INCARNATION = 55;
    static final LocalNode SERVER_NODE =
            new LocalNode("sidecar-1", Role.ROLE_SIDECAR, SERVER_INCARNATION, "zone-a", "model-1");
    static final LocalNode CLIENT_NODE =
            new LocalNode("entry-1", Role.ROLE_ENTRY, CLIENT_INCARNATION, "zone-b", "");

    /** Limits whose timeouts and heartbeat interval are longer than any test. */
    static final ProtocolLimits WITHOUT_TIMERS =
            new ProtocolLimits(1 << 20, 8 << 20, 256 << 10, 32 << 20, 600_000, 600_000, 600_000);

    /** Upper bound of a wait; only a test that hangs reaches it. */
    static final long WAIT_SECONDS = 60;

    private final List<Runnable> mStops = new ArrayList<>();

    /** A control frame and the Hello of its sender. */
    record ReceivedControl(Hello mPeer, Frame mFrame) {}

    /** Records the control frames that arrive. */
    static final class ControlRecorder implements ControlHandler {
        final LinkedBlockingQueue<ReceivedControl> mReceived = new LinkedBlockingQueue<>();

        @Override
        public void onControl(Hello peer, Frame frame, Consumer<Frame> reply) {
            mReceived.add(new ReceivedControl(peer, frame));
        }

        ReceivedControl next() throws InterruptedException {
            ReceivedControl received = mReceived.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            if (received == null) {
                throw new AssertionError("no control frame arrived");
            }
            return received;
        }
    }

    PeerServer server(CallHandler handler) {
        return server(WITHOUT_TIMERS, handler);
    }

    PeerServer server(ProtocolLimits limits, CallHandler handler) {
        return startForTest(
                new PeerServer(
                        SERVER_NODE, limits, handler, new ControlRecorder(), System::nanoTime));
    }

    PeerServer startForTest(PeerServer server) {
        server.start(LOOPBACK, 0);
        mStops.add(server::stop);
        return server;
    }

    PeerConnector connector(ProtocolLimits limits, LongSupplier nanoClock) {
        return stopAfterTest(
                new PeerConnector(CLIENT_NODE, limits, new ControlRecorder(), nanoClock));
    }

    PeerConnector stopAfterTest(PeerConnector connector) {
        mStops.add(connector::stop);
        return connector;
    }

    PeerConnection connect(int port) throws Exception {
        return connect(WITHOUT_TIMERS, port);
    }

    PeerConnection connect(ProtocolLimits limits, int port) throws Exception {
        return await(connector(limits, System::nanoTime).connect(LOOPBACK, port));
    }

    static <T> T await(CompletableFuture<T> future) throws Exception {
        return future.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Waits for a condition by polling, where no future reports it. */
    static void eventually(Callable<Boolean> condition) {
        Awaitility.await()
                .pollDelay(Duration.ZERO)
                .pollInterval(Duration.ofMillis(1))
                .atMost(Duration.ofSeconds(WAIT_SECONDS))
                .until(condition);
    }

    static Call head(String path) {
        return Call.newBuilder()
                .setKind(CallKind.CALL_KIND_SERVICE)
                .setOrganisation("kaasik")
                .setMethod("POST")
                .setPath(path)
                .build();
    }

    static ResponseEnd success() {
        return ResponseEnd.newBuilder().setExecution(Execution.EXECUTION_RUN).build();
    }

    /** Responds to a call with its path in a header and with its body. */
    static void echo(InboundCall call) {
        call.respondHead(
                ResponseHead.newBuilder()
                        .setStatus(200)
                        .addHeaders(
                                Header.newBuilder().setName("path").setValue(call.head().getPath()))
                        .build());
        CompletableFuture<Void> sent = call.respondBody(call.body());
        var _ = sent.thenRun(() -> call.respondEnd(success()));
    }

    @Override
    public void close() {
        mStops.forEach(Runnable::run);
    }

    /** Records the response to a call. */
    static class RecordedResponse implements ResponseListener {
        final CompletableFuture<ResponseHead> mHead = new CompletableFuture<>();
        final CompletableFuture<ResponseEnd> mEnd = new CompletableFuture<>();
        final CompletableFuture<Boolean> mLost = new CompletableFuture<>();
        final List<ByteString> mParts = new ArrayList<>();
        private final CompletableFuture<OutboundCall> mCall = new CompletableFuture<>();
        private final boolean mConsume;
        private long mBytes;

        /**
         * Creates a listener that returns credit for each part on arrival, or never if {@code
         * consume} is false.
         */
        RecordedResponse(boolean consume) {
            mConsume = consume;
        }

        static RecordedResponse of(PeerConnection connection, Call head, ByteString body) {
            RecordedResponse response = new RecordedResponse(true);
            response.start(connection, head, body);
            return response;
        }

        OutboundCall start(PeerConnection connection, Call head, ByteString body) {
            OutboundCall call = connection.call(head, body, this);
            mCall.complete(call);
            return call;
        }

        @Override
        public void onHead(ResponseHead head) {
            if (!mHead.complete(head)) {
                throw new AssertionError("received a second head");
            }
        }

        @Override
        public synchronized void onBody(ByteString data) {
            mParts.add(data);
            mBytes += data.size();
            if (mConsume) {
                var _ = mCall.thenAccept(call -> call.returnCredit(data.size()));
            }
        }

        @Override
        public void onEnd(ResponseEnd end) {
            if (mLost.isDone() || !mEnd.complete(end)) {
                throw new AssertionError("received an end after an end or a lost connection");
            }
        }

        @Override
        public void onConnectionLost(boolean mayHaveArrived) {
            if (mEnd.isDone() || !mLost.complete(mayHaveArrived)) {
                throw new AssertionError(
                        "received a lost connection after an end or a lost connection");
            }
        }

        void cancelWhenStarted() {
            mCall.join().cancel();
        }

        synchronized long bytes() {
            return mBytes;
        }

        synchronized ByteString body() {
            return ByteString.copyFrom(mParts);
        }
    }
}
