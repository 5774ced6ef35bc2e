package org.oleandertrack.server.sidecar;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.protocol.InboundCall;
import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.Hello;
import org.oleandertrack.protocol.message.ResponseEnd;
import org.oleandertrack.protocol.message.ResponseHead;

/** A call from an entry host that records its response. Not thread-safe. */
final class FakeInboundCall implements InboundCall {

    private final Call mHead;
    private final CompletableFuture<Void> mCancelled = new CompletableFuture<>();
    private ResponseEnd mEnd;
    private int mEndCount;
    private ResponseHead mResponseHead;
    private ByteString mResponseBody = ByteString.EMPTY;

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
        if (mEndCount != 1) {
            throw new AssertionError("the call ended " + mEndCount + " times");
        }
        return mEnd;
    }

    ResponseHead responseHead() {
        return mResponseHead;
    }

    String responseText() {
        return mResponseBody.toString(StandardCharsets.ISO_8859_1);
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
    public void respondHead(ResponseHead head) {
        mResponseHead = head;
    }

    @Override
    public CompletableFuture<Void> respondBody(ByteString data) {
        mResponseBody = mResponseBody.concat(data);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public void respondEnd(ResponseEnd end) {
        mEndCount++;
        mEnd = end;
    }

    @Override
    public CompletableFuture<Void> cancelled() {
        return mCancelled;
    }
}
