package org.oleandertrack.protocol;

import com.google.protobuf.ByteString;
import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.collection.LongObjectMap;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.Cancel;
import org.oleandertrack.protocol.message.Execution;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Heartbeat;
import org.oleandertrack.protocol.message.Hello;
import org.oleandertrack.protocol.message.ResponseBody;
import org.oleandertrack.protocol.message.ResponseEnd;
import org.tinylog.Logger;

/** The connecting end, which starts calls. */
final class ClientConnection extends Connection implements PeerConnection {

    /** Heartbeats without an answer that are remembered; a peer this far behind is idle. */
    private static final int MAX_OPEN_STAMPS = 16;

    /** Room for what a call's head gains on sending: call id, incarnation and body length. */
    private static final int HEAD_ADDITION_BYTES = 64;

    private final CompletableFuture<PeerConnection> mReady = new CompletableFuture<>();
    private final PeerClock mPeerClock = new PeerClock();

    // Used on the I/O thread only.
    private final LongObjectMap<ClientCall> mCalls = new LongObjectHashMap<>();
    private final Deque<Long> mOpenStamps = new ArrayDeque<>();
    private long mHelloSentNanos;
    private long mLastCallId;

    ClientConnection(ConnectionContext context) {
        super(context);
    }

    /** Completes after the handshake; fails if the connection ends before. */
    CompletableFuture<PeerConnection> ready() {
        return mReady;
    }

    // Handshake and clock.

    @Override
    void onOpen() {
        sendHello();
    }

    @Override
    long helloClockNanos() {
        mHelloSentNanos = super.helloClockNanos();
        return mHelloSentNanos;
    }

    @Override
    void onHandshake(Hello peer) {
        mPeerClock.add(mHelloSentNanos, peer.getClockNanos(), context().nanoClock().getAsLong());
        schedule(this::beat, limits().heartbeatMillis());
        mReady.complete(this);
    }

    private void beat() {
        if (isClosing()) {
            return;
        }
        long clockNanos = context().nanoClock().getAsLong();
        mOpenStamps.addLast(clockNanos);
        if (mOpenStamps.size() > MAX_OPEN_STAMPS) {
            mOpenStamps.removeFirst();
        }
        sendHeartbeat(clockNanos, 0);
        schedule(this::beat, limits().heartbeatMillis());
    }

    @Override
    void onHeartbeat(Heartbeat heartbeat) {
        long sentNanos = heartbeat.getEchoClockNanos();
        if (!mOpenStamps.contains(sentNanos)) {
            return;
        }
        while (mOpenStamps.removeFirst() != sentNanos) {
            // Answers arrive in order, so an earlier heartbeat gets none any more.
        }
        long arrivedNanos = context().nanoClock().getAsLong();
        mPeerClock.add(sentNanos, heartbeat.getSenderClockNanos(), arrivedNanos);
    }

    @Override
    public long toPeerNanos(long localNanos) {
        return mPeerClock.earliestPeerNanos(localNanos);
    }

    // Operations.

    @Override
    public Hello peer() {
        return peerHello();
    }

    @Override
    public void send(Frame frame) {
        sendControl(frame);
    }

    @Override
    public OutboundCall call(Call head, ByteString body, ResponseListener listener) {
        long bytes = (long) head.getSerializedSize() + HEAD_ADDITION_BYTES;
        if (isClosing()) {
            ClientCall call = new ClientCall(this, ByteString.EMPTY, listener);
            outbox().submit(call::lose);
            return call;
        }
        if (!outbox().reserve(bytes + body.size())) {
            ClientCall call = new ClientCall(this, ByteString.EMPTY, listener);
            String message = outbox().unsentBytes() + " bytes wait to be sent to the peer";
            outbox().submit(() -> call.refuse(ResultCode.MEMORY_LIMIT_REACHED, message));
            return call;
        }
        ClientCall call = new ClientCall(this, body, listener);
        outbox().submit(() -> start(call, head, bytes));
        return call;
    }

    private void start(ClientCall call, Call head, long reservedBytes) {
        if (call.isCancelled() || isClosing()) {
            outbox().release(reservedBytes);
            call.lose();
            return;
        }
        long callId = mLastCallId + 1;
        Call.Builder sent = head.toBuilder().setCallId(callId).setBodyBytes(call.unsentBodyBytes());
        if (head.getReceiverIncarnation() == 0) {
            sent.setReceiverIncarnation(peerHello().getIncarnation());
        }
        Frame frame = Frame.newBuilder().setCall(sent).build();
        if (!fits(frame)) {
            outbox().release(reservedBytes);
            String message = "the call's head has " + frame.getSerializedSize() + " bytes";
            call.refuse(ResultCode.FRAME_TOO_LARGE, message);
            return;
        }
        mLastCallId = callId;
        mCalls.put(callId, call);
        call.start(callId, outbox().write(frame, reservedBytes));
    }

    /** Forgets a call that the caller has cancelled. */
    void cancel(ClientCall call) {
        if (mCalls.remove(call.callId()) == null) {
            return;
        }
        Cancel.Builder cancel = Cancel.newBuilder().setCallId(call.callId());
        writeFrame(Frame.newBuilder().setCancel(cancel).build());
    }

    // Receiving.

    @Override
    void onCallFrame(Frame frame) {
        switch (frame.getPayloadCase()) {
            case RESPONSE_HEAD -> {
                ClientCall call = find(frame.getResponseHead().getCallId());
                if (call != null) {
                    call.onHead(frame.getResponseHead());
                }
            }
            case RESPONSE_BODY -> {
                ResponseBody body = frame.getResponseBody();
                ClientCall call = find(body.getCallId());
                if (call != null) {
                    call.onBody(body.getData());
                }
            }
            case RESPONSE_END -> {
                ResponseEnd end = frame.getResponseEnd();
                ClientCall call = find(end.getCallId());
                if (call != null) {
                    mCalls.remove(end.getCallId());
                    call.end(end);
                }
            }
            default -> throw malformed(frame.getPayloadCase() + " from the accepting side");
        }
    }

    /** Returns the call, or null if it was cancelled and frames of it were still on their way. */
    private ClientCall find(long callId) {
        if (callId <= 0 || callId > mLastCallId) {
            throw malformed("response to call " + callId + ", which was never sent");
        }
        return mCalls.get(callId);
    }

    @Override
    void onLost(ResultException reason) {
        List<ClientCall> calls = new ArrayList<>(mCalls.values());
        mCalls.clear();
        calls.forEach(ClientCall::lose);
        mReady.completeExceptionally(reason);
    }

    /** Returns the end of a call that was not sent. */
    static ResponseEnd notSent(ResultCode code, String message) {
        return ResponseEnd.newBuilder()
                .setResultCode(code.number())
                .setExecution(Execution.EXECUTION_NOT_RUN)
                .setMessage(message)
                .build();
    }

    /** Runs a listener's method; its failure must not reach other calls. */
    void notifyListener(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            Logger.error(e, "{}: a response listener failed", this);
        }
    }
}
