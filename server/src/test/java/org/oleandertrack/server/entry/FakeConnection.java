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

/** A sidecar that answers as the test says, on the thread that calls. Used by one thread. */
final class FakeConnection implements PeerConnection {

    /** A call that arrived, with what became of it. */
    static final class Received implements OutboundCall {

        private final Call mHead;
        private final ResponseListener mListener;
        private boolean mCancelled;
        private int mConsumedBytes;

        private Received(Call head, ResponseListener listener) {
            mHead = head;
            mListener = listener;
        }

        void head(int status) {
            mListener.onHead(ResponseHead.newBuilder().setStatus(status).build());
        }

        void body(String text) {
            mListener.onBody(ByteString.copyFromUtf8(text));
        }

        void end() {
            mListener.onEnd(ResponseEnd.getDefaultInstance());
        }

        void fail(int code, Execution execution) {
            mListener.onEnd(
                    ResponseEnd.newBuilder().setResultCode(code).setExecution(execution).build());
        }

        void lose(boolean mayHaveArrived) {
            mListener.onLost(mayHaveArrived);
        }

        void succeed(String text) {
            head(200);
            body(text);
            end();
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
        public void consumed(int bytes) {
            mConsumedBytes += bytes;
        }

        @Override
        public void cancel() {
            mCancelled = true;
        }
    }

    private final Consumer<Received> mScript;
    private final List<Received> mCalls = new ArrayList<>();

    FakeConnection(Consumer<Received> script) {
        mScript = script;
    }

    List<Received> calls() {
        return mCalls;
    }

    @Override
    public Hello peer() {
        return Hello.newBuilder().setIncarnation(9).build();
    }

    @Override
    public OutboundCall call(Call head, ByteString body, ResponseListener listener) {
        Received received = new Received(head, listener);
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
