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

/** The connecting end of a connection. It sends calls and receives their responses. */
final class ClientConnection extends Connection implements PeerConnection {

    /**
     * Number of unanswered heartbeats whose send times are kept. The idle timeout closes a
     * connection whose peer is further behind.
     */
    private static final int MAX_UNANSWERED_HEARTBEATS = 16;

    /**
     * Upper bound of the encoded size of the fields added to a call's head: call id, incarnation
     * and body length.
     */
    private static final int ADDED_HEAD_FIELDS_BYTES = 64;

    private final CompletableFuture<PeerConnection> mReady = new CompletableFuture<>();
    private final PeerClock mPeerClock = new PeerClock();

    // Used on the I/O thread only.
    private final LongObjectMap<ClientCall> mCalls = new LongObjectHashMap<>();
    private final Deque<Long> mUnansweredHeartbeatNanos = new ArrayDeque<>();
    private long mHelloSentNanos;
    private long mLastCallId;

    ClientConnection(ConnectionContext context) {
        super(context);
    }

    /** Completes after the handshake; fails if the connection closes before that. */
    CompletableFuture<PeerConnection> ready() {
        return mReady;
    }

    // Handshake and clock.

    @Override
    void onOpen() {
        sendHello();
    }

    @Override
    long readHelloClock() {
        mHelloSentNanos = super.readHelloClock();
        return mHelloSentNanos;
    }

    @Override
    void onHandshake(Hello peer) {
        mPeerClock.addSample(
                mHelloSentNanos, peer.getClockNanos(), context().nanoClock().getAsLong());
        schedule(this::sendPeriodicHeartbeat, limits().heartbeatIntervalMillis());
        mReady.complete(this);
    }

    private void sendPeriodicHeartbeat() {
        if (isClosing()) {
            return;
        }
        long clockNanos = context().nanoClock().getAsLong();
        mUnansweredHeartbeatNanos.addLast(clockNanos);
        if (mUnansweredHeartbeatNanos.size() > MAX_UNANSWERED_HEARTBEATS) {
            mUnansweredHeartbeatNanos.removeFirst();
        }
        sendHeartbeat(clockNanos, 0);
        schedule(this::sendPeriodicHeartbeat, limits().heartbeatIntervalMillis());
    }

    @Override
    void onHeartbeat(Heartbeat heartbeat) {
        long sentNanos = heartbeat.getEchoClockNanos();
        if (!mUnansweredHeartbeatNanos.contains(sentNanos)) {
            return;
        }
        while (mUnansweredHeartbeatNanos.removeFirst() != sentNanos) {
            // Replies arrive in order, so earlier heartbeats will not be answered any more.
        }
        long arrivedNanos = context().nanoClock().getAsLong();
        mPeerClock.addSample(sentNanos, heartbeat.getSenderClockNanos(), arrivedNanos);
    }

    @Override
    public long toPeerNanos(long localNanos) {
        return mPeerClock.peerNanosLowerBound(localNanos);
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
        long headBytes = (long) head.getSerializedSize() + ADDED_HEAD_FIELDS_BYTES;
        if (isClosing()) {
            ClientCall call = new ClientCall(this, ByteString.EMPTY, listener);
            outbox().submit(call::onConnectionLost);
            return call;
        }
        if (!outbox().reserveBytes(headBytes + body.size())) {
            ClientCall call = new ClientCall(this, ByteString.EMPTY, listener);
            String message = outbox().unsentBytes() + " bytes already wait to be sent to the peer";
            outbox().submit(() -> call.endAsNotRun(ResultCode.MEMORY_LIMIT_REACHED, message));
            return call;
        }
        ClientCall call = new ClientCall(this, body, listener);
        outbox().submit(() -> startCall(call, head, headBytes));
        return call;
    }

    private void startCall(ClientCall call, Call head, long reservedBytes) {
        if (call.isCancelled() || isClosing()) {
            outbox().releaseBytes(reservedBytes);
            call.onConnectionLost();
            return;
        }
        long callId = mLastCallId + 1;
        Call.Builder sent = head.toBuilder().setCallId(callId).setBodyBytes(call.unsentBodyBytes());
        if (head.getReceiverIncarnation() == 0) {
            sent.setReceiverIncarnation(peerHello().getIncarnation());
        }
        Frame frame = Frame.newBuilder().setCall(sent).build();
        if (!fitsPeerLimit(frame)) {
            outbox().releaseBytes(reservedBytes);
            String message = "the call's head has " + frame.getSerializedSize() + " bytes";
            call.endAsNotRun(ResultCode.FRAME_TOO_LARGE, message);
            return;
        }
        mLastCallId = callId;
        mCalls.put(callId, call);
        call.onHeadWritten(callId, outbox().write(frame, reservedBytes));
    }

    /** Removes a call that the caller has cancelled, and sends the cancellation to the peer. */
    void cancelCall(ClientCall call) {
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
                ClientCall call = findCall(frame.getResponseHead().getCallId());
                if (call != null) {
                    call.onHead(frame.getResponseHead());
                }
            }
            case RESPONSE_BODY -> {
                ResponseBody body = frame.getResponseBody();
                ClientCall call = findCall(body.getCallId());
                if (call != null) {
                    call.onBody(body.getData());
                }
            }
            case RESPONSE_END -> {
                ResponseEnd end = frame.getResponseEnd();
                ClientCall call = findCall(end.getCallId());
                if (call != null) {
                    mCalls.remove(end.getCallId());
                    call.onEnd(end);
                }
            }
            default ->
                    throw malformedFrame(
                            frame.getPayloadCase() + " frame received from the accepting side");
        }
    }

    /**
     * Returns the call, or null if it is over. Frames of a cancelled call may still arrive.
     *
     * @throws ResultException with MALFORMED_FRAME if no call with this id was sent
     */
    private ClientCall findCall(long callId) {
        if (callId <= 0 || callId > mLastCallId) {
            throw malformedFrame(
                    "received a response to call " + callId + ", which was never sent");
        }
        return mCalls.get(callId);
    }

    @Override
    void onClosing(ResultException reason) {
        List<ClientCall> calls = new ArrayList<>(mCalls.values());
        mCalls.clear();
        calls.forEach(ClientCall::onConnectionLost);
        mReady.completeExceptionally(reason);
    }

    /** Returns the end of a call that was not sent and so has not run. */
    static ResponseEnd notRunEnd(ResultCode code, String message) {
        return ResponseEnd.newBuilder()
                .setResultCode(code.number())
                .setExecution(Execution.EXECUTION_NOT_RUN)
                .setMessage(message)
                .build();
    }

    /** Runs a listener's method. Logs its exceptions, so that they do not affect other calls. */
    void notifyListener(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            Logger.error(e, "{}: a response listener failed; the connection stays open", this);
        }
    }
}
