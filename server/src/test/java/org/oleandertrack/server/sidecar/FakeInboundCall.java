package org.oleandertrack.server.sidecar;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.protocol.InboundCall;
import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.Hello;
import org.oleandertrack.protocol.message.ResponseEnd;
import org.oleandertrack.protocol.message.ResponseHead;

/** A call of an entry host that keeps how it ended. Used by one thread. */
final class FakeInboundCall implements InboundCall {

    private final Call mHead;
    private final CompletableFuture<Void> mCancelled = new CompletableFuture<>();
    private ResponseEnd mEnd;
    private int mEnds;

    FakeInboundCall(Call head) {
        mHead = head;
    }

    void cancel() {
        mCancelled.complete(null);
    }

    boolean hasEnded() {
        return mEnd != null;
    }

    ResponseEnd end() {
        if (mEnds != 1) {
            throw new AssertionError("the call ended " + mEnds + " times");
        }
        return mEnd;
    }

    @Override
    public Call head() {
        return mHead;
    }

    @Override
    public ByteString body() {
        return ByteString.EMPTY;
    }

    @Override
    public Hello peer() {
        return Hello.getDefaultInstance();
    }

    @Override
    public void respondHead(ResponseHead head) {}

    @Override
    public CompletableFuture<Void> respondBody(ByteString data) {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public void respondEnd(ResponseEnd end) {
        mEnds++;
        mEnd = end;
    }

    @Override
    public CompletableFuture<Void> cancelled() {
        return mCancelled;
    }
}
