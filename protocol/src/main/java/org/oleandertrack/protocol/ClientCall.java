package org.oleandertrack.protocol;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelFuture;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.protocol.message.CallBody;
import org.oleandertrack.protocol.message.Credit;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.ResponseEnd;
import org.oleandertrack.protocol.message.ResponseHead;

/**
 * A call at the connecting end. Methods run on the I/O thread unless their documentation says
 * otherwise.
 */
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
    private long mProcessedBytes;
    private long mCreditedBytes;

    /** Creates a call; the bytes of its body must have been reserved in the outbox. */
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
                            if (markEnded()) {
                                mConnection.cancelCall(this);
                            }
                        });
    }

    @Override
    public void returnCredit(int bytes) {
        long credit;
        synchronized (mCreditLock) {
            if (bytes < 0 || bytes > mReceivedBytes - mProcessedBytes) {
                throw new IllegalArgumentException(
                        bytes
                                + " bytes of credit returned, but only "
                                + (mReceivedBytes - mProcessedBytes)
                                + " received bytes have no credit returned yet");
            }
            mProcessedBytes += bytes;
            credit = mProcessedBytes - mCreditedBytes;
            // While this credit is withheld, the peer can still send the other half of the window.
            if (credit <= mConnection.limits().responseWindowBytes() / 2) {
                return;
            }
            mCreditedBytes = mProcessedBytes;
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

    /** Called when the head has been written to the channel. Queues the body, if there is one. */
    void onHeadWritten(long callId, ChannelFuture headWritten) {
        mCallId = callId;
        if (mUnsentBody.isEmpty()) {
            mLastFrameWritten = headWritten;
        } else {
            mConnection.outbox().queueBody(this);
        }
    }

    @Override
    public boolean sendNextFrame() {
        if (mEnded) {
            return false;
        }
        ByteString data = mConnection.nextFrameData(mUnsentBody, Integer.MAX_VALUE);
        mUnsentBody = mUnsentBody.substring(data.size());
        boolean isLast = mUnsentBody.isEmpty();
        CallBody.Builder body =
                CallBody.newBuilder().setCallId(mCallId).setData(data).setLast(isLast);
        ChannelFuture written =
                mConnection
                        .outbox()
                        .write(Frame.newBuilder().setCallBody(body).build(), data.size());
        if (isLast) {
            mLastFrameWritten = written;
        }
        return !isLast;
    }

    /** Returns false only if it is certain that the call was not written to the socket in full. */
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
                throw Connection.malformedFrame(
                        "the response to call " + mCallId + " exceeds its credit");
            }
        }
        if (!mCancelled) {
            mConnection.notifyListener(() -> mListener.onBody(data));
        }
    }

    void onEnd(ResponseEnd end) {
        if (markEnded() && !mCancelled) {
            mConnection.notifyListener(() -> mListener.onEnd(end));
        }
    }

    /** Ends a call that was not sent, with EXECUTION_NOT_RUN and an error code. */
    void endAsNotRun(ResultCode code, String message) {
        onEnd(ClientConnection.notRunEnd(code, message));
    }

    /** Ends the call without a response because the connection is closing or closed. */
    void onConnectionLost() {
        boolean mayHaveArrived = mayHaveArrived();
        if (markEnded() && !mCancelled) {
            mConnection.notifyListener(() -> mListener.onConnectionLost(mayHaveArrived));
        }
    }

    /** Marks the call as ended and drops its unsent body. Returns false if it had already ended. */
    private boolean markEnded() {
        if (mEnded) {
            return false;
        }
        mEnded = true;
        mConnection.outbox().releaseBytes(mUnsentBody.size());
        mUnsentBody = ByteString.EMPTY;
        return true;
    }
}
