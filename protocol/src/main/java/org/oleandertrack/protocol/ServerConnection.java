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

/** The accepting end, which receives calls. */
final class ServerConnection extends Connection {

    /** Request bytes collected at a time per connection, in largest bodies. */
    private static final int MAX_COLLECTED_BODIES = 4;

    private final CallHandler mCallHandler;
    private final Consumer<ServerConnection> mOnHandshake;

    private volatile int mOpenCalls;

    // Used on the I/O thread only.
    private final LongObjectMap<ServerCall> mCalls = new LongObjectHashMap<>();
    private long mLastCallId;
    private long mCollectingBytes;

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
        // The connecting side speaks first.
    }

    @Override
    void onHandshake(Hello peer) {
        // Before the Hello, so that a peer that has read it is among the server's peers.
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
                ServerCall call = find(credit.getCallId());
                if (call != null) {
                    call.addCredit(credit.getBytes());
                    outbox().pump();
                }
            }
            case CANCEL -> {
                ServerCall call = find(frame.getCancel().getCallId());
                if (call != null) {
                    drop(call);
                    call.abort(
                            new ResultException(
                                    ResultCode.CANCELLED, "the peer cancelled the call"));
                }
            }
            default -> throw malformed(frame.getPayloadCase() + " from the connecting side");
        }
    }

    /** Returns the calls whose end is not written yet. Thread safe. */
    int openCalls() {
        return mOpenCalls;
    }

    // Receiving calls.

    private void onCall(Call head) {
        if (head.getCallId() <= mLastCallId) {
            throw malformed("call id " + head.getCallId() + " after " + mLastCallId);
        }
        mLastCallId = head.getCallId();
        if (head.getReceiverIncarnation() != context().node().incarnation()) {
            refuse(head, ResultCode.WRONG_INCARNATION);
            return;
        }
        if (Long.compareUnsigned(head.getBodyBytes(), limits().maxBodyBytes()) > 0) {
            refuse(head, ResultCode.BODY_TOO_LARGE);
            return;
        }
        ServerCall call = new ServerCall(this, head);
        long collecting = mCollectingBytes + call.collectingBytes();
        if (collecting > (long) MAX_COLLECTED_BODIES * limits().maxBodyBytes()
                && mCollectingBytes > 0) {
            refuse(head, ResultCode.MEMORY_LIMIT_REACHED);
            return;
        }
        mCalls.put(head.getCallId(), call);
        mOpenCalls = mCalls.size();
        mCollectingBytes = collecting;
        if (head.getBodyBytes() == 0) {
            deliver(call);
        }
    }

    private void refuse(Call head, ResultCode code) {
        ResponseEnd.Builder end =
                ResponseEnd.newBuilder()
                        .setCallId(head.getCallId())
                        .setResultCode(code.number())
                        .setExecution(Execution.EXECUTION_NOT_RUN)
                        .setMessage(code.summary());
        submitFrame(Frame.newBuilder().setResponseEnd(end).build());
    }

    private void onCallBody(CallBody part) {
        ServerCall call = find(part.getCallId());
        if (call != null && call.collect(part)) {
            deliver(call);
        }
    }

    private void deliver(ServerCall call) {
        mCollectingBytes -= call.collectingBytes();
        call.collected();
        try {
            mCallHandler.onCall(call);
        } catch (RuntimeException e) {
            Logger.error(e, "{}: the call handler failed", this);
            call.respondEnd(
                    ResponseEnd.newBuilder()
                            .setResultCode(ResultCode.INTERNAL_ERROR.number())
                            .setExecution(Execution.EXECUTION_UNKNOWN)
                            .setMessage(ResultCode.INTERNAL_ERROR.summary())
                            .build());
        }
    }

    /** Returns the call, or null if it is over and frames of it were still on their way. */
    private ServerCall find(long callId) {
        if (callId <= 0 || callId > mLastCallId) {
            throw malformed("frame of call " + callId + ", which was never opened");
        }
        return mCalls.get(callId);
    }

    /** Forgets a call that is over. */
    void drop(ServerCall call) {
        mCollectingBytes -= call.collectingBytes();
        call.collected();
        mCalls.remove(call.head().getCallId());
        mOpenCalls = mCalls.size();
    }

    @Override
    void onLost(ResultException reason) {
        List<ServerCall> calls = new ArrayList<>(mCalls.values());
        mCalls.clear();
        mOpenCalls = 0;
        calls.forEach(call -> call.abort(reason));
    }
}
