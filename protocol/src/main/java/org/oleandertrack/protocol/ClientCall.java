package org.oleandertrack.protocol;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelFuture;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.protocol.message.CallBody;
import org.oleandertrack.protocol.message.Credit;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.ResponseEnd;
import org.oleandertrack.protocol.message.ResponseHead;

/** A call at the connecting end. Methods run on the I/O thread unless they say otherwise. */
final class ClientCall implements OutboundCall, BodySource {

    private final ClientConnection mConnection;
    private final ResponseListener mListener;
    private final Object mCreditLock = new Object();
    private volatile boolean mCancelled;

    // Used on the I/O thread only.
    private ByteString mUnsentBody;
    private ChannelFuture mLastFrameWritten;
    private long mCallId;
    private boolean mEnded;

    // Guarded by mCreditLock.
    private long mReceivedBytes;
    private long mConsumedBytes;
    private long mCreditedBytes;

    /** Creates a call whose body's bytes are reserved in the outbox. */
    ClientCall(ClientConnection connection, ByteString body, ResponseListener listener) {
        mConnection = connection;
        mUnsentBody = body;
        mListener = listener;
    }

    long callId() {
        return mCallId;
    }

    boolean isCancelled() {
        return mCancelled;
    }

    long unsentBodyBytes() {
        return mUnsentBody.size();
    }

    // Operations of the caller, thread safe.

    @Override
    public void cancel() {
        mCancelled = true;
        mConnection
                .outbox()
                .submit(
                        () -> {
                            if (finish()) {
                                mConnection.cancel(this);
                            }
                        });
    }

    @Override
    public void returnCredit(int bytes) {
        long credit;
        synchronized (mCreditLock) {
            if (bytes < 0 || bytes > mReceivedBytes - mConsumedBytes) {
                throw new IllegalArgumentException(
                        bytes
                                + " bytes consumed, but only "
                                + (mReceivedBytes - mConsumedBytes)
                                + " are unconsumed");
            }
            mConsumedBytes += bytes;
            credit = mConsumedBytes - mCreditedBytes;
            // The peer can still send the other half while this credit is withheld.
            if (credit <= mConnection.limits().responseWindowBytes() / 2) {
                return;
            }
            mCreditedBytes = mConsumedBytes;
        }
        mConnection.outbox().submit(() -> sendCredit(credit));
    }

    private void sendCredit(long bytes) {
        if (mEnded || mConnection.isClosing()) {
            return;
        }
        Credit.Builder credit = Credit.newBuilder().setCallId(mCallId).setBytes((int) bytes);
        mConnection.writeFrame(Frame.newBuilder().setCredit(credit).build());
    }

    // Sending.

    /** The head has been handed to the channel. */
    void start(long callId, ChannelFuture headWritten) {
        mCallId = callId;
        if (mUnsentBody.isEmpty()) {
            mLastFrameWritten = headWritten;
        } else {
            mConnection.outbox().addBody(this);
        }
    }

    @Override
    public boolean sendPart() {
        if (mEnded) {
            return false;
        }
        ByteString part = mConnection.nextPart(mUnsentBody, Integer.MAX_VALUE);
        mUnsentBody = mUnsentBody.substring(part.size());
        boolean last = mUnsentBody.isEmpty();
        CallBody.Builder body =
                CallBody.newBuilder().setCallId(mCallId).setData(part).setLast(last);
        ChannelFuture written =
                mConnection
                        .outbox()
                        .write(Frame.newBuilder().setCallBody(body).build(), part.size());
        if (last) {
            mLastFrameWritten = written;
        }
        return !last;
    }

    /** Returns false only if the socket cannot have taken the whole call. */
    private boolean mayHaveArrived() {
        if (mLastFrameWritten == null) {
            return false;
        }
        return !mLastFrameWritten.isDone() || mLastFrameWritten.isSuccess();
    }

    // Events.

    void onHead(ResponseHead head) {
        if (!mCancelled) {
            mConnection.notifyListener(() -> mListener.onHead(head));
        }
    }

    void onBody(ByteString data) {
        synchronized (mCreditLock) {
            mReceivedBytes += data.size();
            if (mReceivedBytes - mCreditedBytes > mConnection.limits().responseWindowBytes()) {
                throw Connection.malformed("the response to call " + mCallId + " has no credit");
            }
        }
        if (!mCancelled) {
            mConnection.notifyListener(() -> mListener.onBody(data));
        }
    }

    void end(ResponseEnd end) {
        if (finish() && !mCancelled) {
            mConnection.notifyListener(() -> mListener.onEnd(end));
        }
    }

    /** Ends a call that was not sent. */
    void refuse(ResultCode code, String message) {
        end(ClientConnection.notSent(code, message));
    }

    void lose() {
        boolean mayHaveArrived = mayHaveArrived();
        if (finish() && !mCancelled) {
            mConnection.notifyListener(() -> mListener.onConnectionLost(mayHaveArrived));
        }
    }

    /** Drops what is unsent; returns false if the call was over already. */
    private boolean finish() {
        if (mEnded) {
            return false;
        }
        mEnded = true;
        mConnection.outbox().release(mUnsentBody.size());
        mUnsentBody = ByteString.EMPTY;
        return true;
    }
}
