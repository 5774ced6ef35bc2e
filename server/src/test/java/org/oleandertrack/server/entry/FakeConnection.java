package org.oleandertrack.server.entry;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.oleandertrack.protocol.OutboundCall;
import org.oleandertrack.protocol.PeerConnection;
import org.oleandertrack.protocol.ResponseListener;
import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.Execution;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Hello;
import org.oleandertrack.protocol.message.ResponseEnd;
import org.oleandertrack.protocol.message.ResponseHead;

/**
 * A connection to a peer that responds as the test's script says, on the calling thread. Used by
 * one thread.
 */
final class FakeConnection implements PeerConnection {

    /** A call that the peer has received, with methods to respond to it. */
    static final class ReceivedCall implements OutboundCall {

        private final Call mHead;
        private final ResponseListener mListener;
        private boolean mCancelled;
        private int mConsumedBytes;

        private ReceivedCall(Call head, ResponseListener listener) {
            mHead = head;
            mListener = listener;
        }

        void respondHead(int status) {
            mListener.onHead(ResponseHead.newBuilder().setStatus(status).build());
        }

        void respondBody(String text) {
            mListener.onBody(ByteString.copyFromUtf8(text));
        }

        void respondEnd() {
            mListener.onEnd(ResponseEnd.getDefaultInstance());
        }

        void respondFailure(int code, Execution execution) {
            mListener.onEnd(
                    ResponseEnd.newBuilder().setResultCode(code).setExecution(execution).build());
        }

        void loseConnection(boolean mayHaveArrived) {
            mListener.onConnectionLost(mayHaveArrived);
        }

        void respond(String text) {
            respondHead(200);
            respondBody(text);
            respondEnd();
        }

        Call head() {
            return mHead;
        }

        boolean isCancelled() {
            return mCancelled;
        }

        int consumedBytes() {
            return mConsumedBytes;
        }

        @Override
        public void returnCredit(int bytes) {
            mConsumedBytes += bytes;
        }

        @Override
        public void cancel() {
            mCancelled = true;
        }
    }

    private final Consumer<ReceivedCall> mScript;
    private final List<ReceivedCall> mCalls = new ArrayList<>();

    FakeConnection(Consumer<ReceivedCall> script) {
        mScript = script;
    }

    List<ReceivedCall> calls() {
        return mCalls;
    }

    @Override
    public Hello peer() {
        return Hello.newBuilder().setIncarnation(9).build();
    }

    @Override
    public OutboundCall call(Call head, ByteString body, ResponseListener listener) {
        ReceivedCall received = new ReceivedCall(head, listener);
        mCalls.add(received);
        mScript.accept(received);
        return received;
    }

    @Override
    public void send(Frame frame) {}

    @Override
    public long toPeerNanos(long localNanos) {
        return localNanos;
    }

    @Override
    public CompletableFuture<Void> closed() {
        return new CompletableFuture<>();
    }

    @Override
    public void close() {}
}
