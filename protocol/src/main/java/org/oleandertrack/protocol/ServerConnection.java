package org.oleandertrack.protocol;

import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.collection.LongObjectMap;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.CallBody;
import org.oleandertrack.protocol.message.Credit;
import org.oleandertrack.protocol.message.Execution;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Heartbeat;
import org.oleandertrack.protocol.message.Hello;
import org.oleandertrack.protocol.message.ResponseEnd;
import org.tinylog.Logger;

/** The accepting end of a connection. It receives calls and sends their responses. */
final class ServerConnection extends Connection {

    /**
     * Limit of the bytes of incomplete requests per connection, as a multiple of the largest body
     * accepted.
     */
    private static final int MAX_INCOMPLETE_BODIES = 4;

    private final CallHandler mCallHandler;
    private final Consumer<ServerConnection> mOnHandshake;

    private volatile int mOpenCalls;

    // Used on the I/O thread only.
    private final LongObjectMap<ServerCall> mCalls = new LongObjectHashMap<>();
    private long mLastCallId;
    private long mIncompleteRequestBytes;

    ServerConnection(
            ConnectionContext context,
            CallHandler callHandler,
            Consumer<ServerConnection> onHandshake) {
        super(context);
        mCallHandler = callHandler;
        mOnHandshake = onHandshake;
    }

    @Override
    void onOpen() {
        // The connecting side sends its Hello first.
    }

    @Override
    void onHandshake(Hello peer) {
        // Registers the connection before it sends the Hello, so that a peer that has received the
        // Hello is already included in PeerServer.peers().
        mOnHandshake.accept(this);
        sendHello();
    }

    @Override
    void onHeartbeat(Heartbeat heartbeat) {
        sendHeartbeat(context().nanoClock().getAsLong(), heartbeat.getSenderClockNanos());
    }

    @Override
    void onCallFrame(Frame frame) {
        switch (frame.getPayloadCase()) {
            case CALL -> onCall(frame.getCall());
            case CALL_BODY -> onCallBody(frame.getCallBody());
            case CREDIT -> {
                Credit credit = frame.getCredit();
                ServerCall call = findCall(credit.getCallId());
                if (call != null) {
                    call.addCredit(credit.getBytes());
                    outbox().sendBodiesAndFlush();
                }
            }
            case CANCEL -> {
                ServerCall call = findCall(frame.getCancel().getCallId());
                if (call != null) {
                    removeCall(call);
                    call.abort(
                            new ResultException(
                                    ResultCode.CANCELLED, "the peer cancelled the call"));
                }
            }
            default ->
                    throw malformedFrame(
                            frame.getPayloadCase() + " frame received from the connecting side");
        }
    }

    /** Returns the number of calls whose end is not written yet. Thread safe. */
    int openCalls() {
        return mOpenCalls;
    }

    // Receiving calls.

    private void onCall(Call head) {
        if (head.getCallId() <= mLastCallId) {
            throw malformedFrame(
                    "call id " + head.getCallId() + " received after call id " + mLastCallId);
        }
        mLastCallId = head.getCallId();
        if (head.getReceiverIncarnation() != context().node().incarnation()) {
            refuseCall(head, ResultCode.WRONG_INCARNATION);
            return;
        }
        if (Long.compareUnsigned(head.getBodyBytes(), limits().maxBodyBytes()) > 0) {
            refuseCall(head, ResultCode.BODY_TOO_LARGE);
            return;
        }
        ServerCall call = new ServerCall(this, head);
        long incompleteRequestBytes = mIncompleteRequestBytes + call.incompleteRequestBytes();
        if (incompleteRequestBytes > (long) MAX_INCOMPLETE_BODIES * limits().maxBodyBytes()
                && mIncompleteRequestBytes > 0) {
            refuseCall(head, ResultCode.MEMORY_LIMIT_REACHED);
            return;
        }
        mCalls.put(head.getCallId(), call);
        mOpenCalls = mCalls.size();
        mIncompleteRequestBytes = incompleteRequestBytes;
        if (head.getBodyBytes() == 0) {
            deliverCall(call);
        }
    }

    private void refuseCall(Call head, ResultCode code) {
        ResponseEnd.Builder end =
                ResponseEnd.newBuilder()
                        .setCallId(head.getCallId())
                        .setResultCode(code.number())
                        .setExecution(Execution.EXECUTION_NOT_RUN)
                        .setMessage(code.summary());
        submitFrame(Frame.newBuilder().setResponseEnd(end).build());
    }

    private void onCallBody(CallBody bodyFrame) {
        ServerCall call = findCall(bodyFrame.getCallId());
        if (call != null && call.appendToBody(bodyFrame)) {
            deliverCall(call);
        }
    }

    private void deliverCall(ServerCall call) {
        mIncompleteRequestBytes -= call.incompleteRequestBytes();
        call.finishBody();
        try {
            mCallHandler.onCall(call);
        } catch (RuntimeException e) {
            Logger.error(e, "{}: the call handler failed; the call ends with INTERNAL_ERROR", this);
            call.respondEnd(
                    ResponseEnd.newBuilder()
                            .setResultCode(ResultCode.INTERNAL_ERROR.number())
                            .setExecution(Execution.EXECUTION_UNKNOWN)
                            .setMessage(ResultCode.INTERNAL_ERROR.summary())
                            .build());
        }
    }

    /**
     * Returns the call, or null if it is over. Frames of a call that is over may still arrive.
     *
     * @throws ResultException with MALFORMED_FRAME if no call with this id was received
     */
    private ServerCall findCall(long callId) {
        if (callId <= 0 || callId > mLastCallId) {
            throw malformedFrame("received a frame of call " + callId + ", which was never opened");
        }
        return mCalls.get(callId);
    }

    /** Removes a call that is over and drops its incomplete request body. */
    void removeCall(ServerCall call) {
        mIncompleteRequestBytes -= call.incompleteRequestBytes();
        call.finishBody();
        mCalls.remove(call.head().getCallId());
        mOpenCalls = mCalls.size();
    }

    @Override
    void onClosing(ResultException reason) {
        List<ServerCall> calls = new ArrayList<>(mCalls.values());
        mCalls.clear();
        mOpenCalls = 0;
        calls.forEach(call -> call.abort(reason));
    }
}
