package org.oleandertrack.protocol;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.CallBody;
import org.oleandertrack.protocol.message.Execution;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Hello;
import org.oleandertrack.protocol.message.ResponseBody;
import org.oleandertrack.protocol.message.ResponseEnd;
import org.oleandertrack.protocol.message.ResponseHead;
import org.tinylog.Logger;

/**
 * A call at the accepting end. Methods run on the I/O thread unless their documentation or section
 * comment says otherwise.
 */
final class ServerCall implements InboundCall, BodySource {

    private final ServerConnection mConnection;
    private final Call mHead;
    private final Hello mPeer;
    private final CompletableFuture<Void> mCancelled = new CompletableFuture<>();
    private volatile ByteString mBody = ByteString.EMPTY;

    // Used on the I/O thread only.
    private final Deque<Part> mResponseParts = new ArrayDeque<>();
    private List<ByteString> mReceivedBody = new ArrayList<>();
    private long mReceivedBodyBytes;
    private long mIncompleteRequestBytes;
    private long mRemainingWindowBytes;
    private boolean mQueuedInOutbox;
    private boolean mResponseStarted;
    private boolean mEnded;
    private ResponseEnd mRequestedEnd;

    /**
     * A part of the response body. It stays queued until it is sent in full and the window has room
     * for further bytes.
     */
    private static final class Part {
        final CompletableFuture<Void> mReadyForNext = new CompletableFuture<>();
        ByteString mUnsent;

        Part(ByteString data) {
            mUnsent = data;
        }
    }

    ServerCall(ServerConnection connection, Call head) {
        mConnection = connection;
        mHead = head;
        mPeer = connection.peerHello();
        mRemainingWindowBytes = mPeer.getResponseWindowBytes();
        mIncompleteRequestBytes = head.getSerializedSize() + head.getBodyBytes();
    }

    // Accessors, thread safe.

    @Override
    public Call head() {
        return mHead;
    }

    @Override
    public ByteString body() {
        return mBody;
    }

    @Override
    public Hello peer() {
        return mPeer;
    }

    @Override
    public CompletableFuture<Void> cancelled() {
        return mCancelled;
    }

    // Receiving the request body.

    /**
     * Returns the size of the head and the whole request body while the body is incomplete, and 0
     * afterwards.
     */
    long incompleteRequestBytes() {
        return mIncompleteRequestBytes;
    }

    /**
     * Appends the data of a frame to the request body.
     *
     * @return true if the body is complete
     * @throws ResultException with MALFORMED_FRAME if the body is already complete, or if the frame
     *     is empty or contradicts the body length in the head
     */
    boolean appendToBody(CallBody bodyFrame) {
        if (mIncompleteRequestBytes == 0) {
            throw malformedFrame("has a body frame after the end of its body");
        }
        if (bodyFrame.getData().isEmpty()) {
            throw malformedFrame("has an empty body frame");
        }
        mReceivedBodyBytes += bodyFrame.getData().size();
        mReceivedBody.add(bodyFrame.getData());
        if (mReceivedBodyBytes > mHead.getBodyBytes()) {
            throw malformedFrame("has a longer body than its head announces");
        }
        if (bodyFrame.getLast() != (mReceivedBodyBytes == mHead.getBodyBytes())) {
            throw malformedFrame(
                    "has a body whose last frame does not match the length in its head");
        }
        return bodyFrame.getLast();
    }

    /** Stops buffering the request body, because it is complete or the call is over. */
    void finishBody() {
        if (mIncompleteRequestBytes > 0) {
            mBody = ByteString.copyFrom(mReceivedBody);
            mReceivedBody = List.of();
            mIncompleteRequestBytes = 0;
        }
    }

    private ResultException malformedFrame(String problem) {
        return Connection.malformedFrame("call " + mHead.getCallId() + " " + problem);
    }

    // Responding, thread safe.

    @Override
    public void respondHead(ResponseHead head) {
        Frame frame =
                Frame.newBuilder()
                        .setResponseHead(head.toBuilder().setCallId(mHead.getCallId()))
                        .build();
        mConnection.outbox().submit(() -> writeHead(frame));
    }

    @Override
    public CompletableFuture<Void> respondBody(ByteString data) {
        Part part = new Part(data);
        if (mConnection.reserveOrClose(data.size())) {
            mConnection.outbox().submit(() -> addPart(part));
        } else {
            part.mReadyForNext.completeExceptionally(
                    new ResultException(ResultCode.ATTEMPT_LOST, "the connection is closed"));
        }
        return part.mReadyForNext;
    }

    @Override
    public void respondEnd(ResponseEnd end) {
        ResponseEnd.Builder sent = end.toBuilder().setCallId(mHead.getCallId());
        if (!end.hasLoad()) {
            sent.setLoad(mConnection.context().status().get().load());
        }
        ResponseEnd built = sent.build();
        mConnection.outbox().submit(() -> requestEnd(built));
    }

    // Sending.

    private void writeHead(Frame frame) {
        if (mEnded || mRequestedEnd != null) {
            return;
        }
        if (mResponseStarted) {
            Logger.error(
                    "call {}: ignoring a response head sent after the head or a body part",
                    mHead.getCallId());
            return;
        }
        mResponseStarted = true;
        if (mConnection.fitsPeerLimit(frame)) {
            mConnection.writeFrame(frame);
            return;
        }
        String message =
                "the response head exceeds the peer's frame limit: it has "
                        + frame.getSerializedSize()
                        + " bytes";
        requestEnd(
                ResponseEnd.newBuilder()
                        .setCallId(mHead.getCallId())
                        .setResultCode(ResultCode.FRAME_TOO_LARGE.number())
                        .setExecution(Execution.EXECUTION_UNKNOWN)
                        .setMessage(message)
                        .build());
        mCancelled.complete(null);
    }

    private void addPart(Part part) {
        if (mEnded || mRequestedEnd != null) {
            mConnection.outbox().releaseBytes(part.mUnsent.size());
            part.mReadyForNext.completeExceptionally(
                    new ResultException(ResultCode.CANCELLED, "the call is over"));
            return;
        }
        mResponseStarted = true;
        mResponseParts.add(part);
        queueIfSendable();
    }

    /** Enlarges the response window by credit that the peer granted. */
    void addCredit(int bytes) {
        mRemainingWindowBytes += Integer.toUnsignedLong(bytes);
        queueIfSendable();
    }

    /** Queues this call's body in the outbox if a part is unsent and the window is open. */
    private void queueIfSendable() {
        if (!mQueuedInOutbox && !mResponseParts.isEmpty() && mRemainingWindowBytes > 0) {
            mQueuedInOutbox = true;
            mConnection.outbox().queueBody(this);
        }
    }

    @Override
    public boolean sendNextFrame() {
        Part part = mResponseParts.peek();
        if (part != null && mRemainingWindowBytes > 0) {
            ByteString data = mConnection.nextFrameData(part.mUnsent, mRemainingWindowBytes);
            if (!data.isEmpty()) {
                writeBodyFrame(data);
                part.mUnsent = part.mUnsent.substring(data.size());
            }
            if (part.mUnsent.isEmpty() && mRemainingWindowBytes > 0) {
                mResponseParts.remove();
                part.mReadyForNext.complete(null);
            }
        }
        sendEndIfBodySent();
        mQueuedInOutbox = !mResponseParts.isEmpty() && mRemainingWindowBytes > 0;
        return mQueuedInOutbox;
    }

    private void writeBodyFrame(ByteString data) {
        ResponseBody.Builder body =
                ResponseBody.newBuilder().setCallId(mHead.getCallId()).setData(data);
        Frame frame = Frame.newBuilder().setResponseBody(body).build();
        mRemainingWindowBytes -= data.size();
        var _ = mConnection.outbox().write(frame, data.size());
    }

    private void requestEnd(ResponseEnd end) {
        if (mEnded || mRequestedEnd != null) {
            return;
        }
        mRequestedEnd = end;
        sendEndIfBodySent();
    }

    /** Sends the end if it was requested and all response parts are sent. */
    private void sendEndIfBodySent() {
        if (mEnded || mRequestedEnd == null) {
            return;
        }
        for (Part part : mResponseParts) {
            if (!part.mUnsent.isEmpty()) {
                return;
            }
        }
        Frame frame = Frame.newBuilder().setResponseEnd(mRequestedEnd).build();
        if (!mConnection.fitsPeerLimit(frame)) {
            frame =
                    Frame.newBuilder()
                            .setResponseEnd(mRequestedEnd.toBuilder().clearMessage())
                            .build();
        }
        mConnection.writeFrame(frame);
        mEnded = true;
        mConnection.removeCall(this);
        mResponseParts.forEach(part -> part.mReadyForNext.complete(null));
        mResponseParts.clear();
    }

    /**
     * Ends the call without a response, because the peer cancelled it or the connection is closing.
     */
    void abort(ResultException reason) {
        mEnded = true;
        List<Part> parts = new ArrayList<>(mResponseParts);
        mResponseParts.clear();
        for (Part part : parts) {
            mConnection.outbox().releaseBytes(part.mUnsent.size());
            part.mReadyForNext.completeExceptionally(reason);
        }
        mCancelled.complete(null);
    }
}
