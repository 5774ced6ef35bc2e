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

/** A call at the accepting end. Methods run on the I/O thread unless they say otherwise. */
final class ServerCall implements InboundCall, BodySource {

    private final ServerConnection mConnection;
    private final Call mHead;
    private final Hello mPeer;
    private final CompletableFuture<Void> mCancelled = new CompletableFuture<>();
    private volatile ByteString mBody = ByteString.EMPTY;

    // Used on the I/O thread only.
    private final Deque<Part> mParts = new ArrayDeque<>();
    private List<ByteString> mBodyParts = new ArrayList<>();
    private long mBodyBytes;
    private long mCollectingBytes;
    private long mWindowBytes;
    private boolean mQueued;
    private boolean mResponseBegun;
    private boolean mOver;
    private ResponseEnd mEnd;

    /** A part of the response body that waits for the window or has just used it up. */
    private static final class Part {
        final CompletableFuture<Void> mSent = new CompletableFuture<>();
        ByteString mUnsent;

        Part(ByteString data) {
            mUnsent = data;
        }
    }

    ServerCall(ServerConnection connection, Call head) {
        mConnection = connection;
        mHead = head;
        mPeer = connection.peerHello();
        mWindowBytes = mPeer.getResponseWindowBytes();
        mCollectingBytes = head.getSerializedSize() + head.getBodyBytes();
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

    // Collecting the request body.

    /** Returns the bytes that this call holds, or will hold, until its body is complete. */
    long collectingBytes() {
        return mCollectingBytes;
    }

    /** Adds a part of the request body; returns true if it was the last. */
    boolean collect(CallBody part) {
        if (mCollectingBytes == 0) {
            throw malformed("has a body part after the last");
        }
        if (part.getData().isEmpty()) {
            throw malformed("has an empty body part");
        }
        mBodyBytes += part.getData().size();
        mBodyParts.add(part.getData());
        if (mBodyBytes > mHead.getBodyBytes()) {
            throw malformed("has a longer body than its head says");
        }
        if (part.getLast() != (mBodyBytes == mHead.getBodyBytes())) {
            throw malformed("has a body of another length than its head says");
        }
        return part.getLast();
    }

    /** The body is complete, or the call is over. */
    void collected() {
        if (mCollectingBytes > 0) {
            mBody = ByteString.copyFrom(mBodyParts);
            mBodyParts = List.of();
            mCollectingBytes = 0;
        }
    }

    private ResultException malformed(String problem) {
        return Connection.malformed("call " + mHead.getCallId() + " " + problem);
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
            part.mSent.completeExceptionally(
                    new ResultException(ResultCode.ATTEMPT_LOST, "the connection is closed"));
        }
        return part.mSent;
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
        if (mOver || mEnd != null) {
            return;
        }
        if (mResponseBegun) {
            Logger.error("call {}: a response head after the head or a part", mHead.getCallId());
            return;
        }
        mResponseBegun = true;
        if (mConnection.fits(frame)) {
            mConnection.writeFrame(frame);
            return;
        }
        String message = "the response's head has " + frame.getSerializedSize() + " bytes";
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
        if (mOver || mEnd != null) {
            mConnection.outbox().release(part.mUnsent.size());
            part.mSent.completeExceptionally(
                    new ResultException(ResultCode.CANCELLED, "the call is over"));
            return;
        }
        mResponseBegun = true;
        mParts.add(part);
        queue();
    }

    /** Adds credit that the peer granted. */
    void addCredit(int bytes) {
        mWindowBytes += Integer.toUnsignedLong(bytes);
        queue();
    }

    private void queue() {
        if (!mQueued && !mParts.isEmpty() && mWindowBytes > 0) {
            mQueued = true;
            mConnection.outbox().addBody(this);
        }
    }

    @Override
    public boolean sendPart() {
        Part part = mParts.peek();
        if (part != null && mWindowBytes > 0) {
            ByteString data = mConnection.nextPart(part.mUnsent, mWindowBytes);
            if (!data.isEmpty()) {
                writeData(data);
                part.mUnsent = part.mUnsent.substring(data.size());
            }
            if (part.mUnsent.isEmpty() && mWindowBytes > 0) {
                mParts.remove();
                part.mSent.complete(null);
            }
        }
        endIfSent();
        mQueued = !mParts.isEmpty() && mWindowBytes > 0;
        return mQueued;
    }

    private void writeData(ByteString data) {
        ResponseBody.Builder body =
                ResponseBody.newBuilder().setCallId(mHead.getCallId()).setData(data);
        Frame frame = Frame.newBuilder().setResponseBody(body).build();
        mWindowBytes -= data.size();
        var _ = mConnection.outbox().write(frame, data.size());
    }

    private void requestEnd(ResponseEnd end) {
        if (mOver || mEnd != null) {
            return;
        }
        mEnd = end;
        endIfSent();
    }

    private void endIfSent() {
        if (mOver || mEnd == null) {
            return;
        }
        for (Part part : mParts) {
            if (!part.mUnsent.isEmpty()) {
                return;
            }
        }
        Frame frame = Frame.newBuilder().setResponseEnd(mEnd).build();
        if (!mConnection.fits(frame)) {
            frame = Frame.newBuilder().setResponseEnd(mEnd.toBuilder().clearMessage()).build();
        }
        mConnection.writeFrame(frame);
        mOver = true;
        mConnection.drop(this);
        mParts.forEach(part -> part.mSent.complete(null));
        mParts.clear();
    }

    /** Ends the call without a response: the peer cancelled it or the connection is lost. */
    void abort(ResultException reason) {
        mOver = true;
        List<Part> parts = new ArrayList<>(mParts);
        mParts.clear();
        for (Part part : parts) {
            mConnection.outbox().release(part.mUnsent.size());
            part.mSent.completeExceptionally(reason);
        }
        mCancelled.complete(null);
    }
}
