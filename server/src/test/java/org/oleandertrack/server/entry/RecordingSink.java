package org.oleandertrack.server.entry;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.protocol.message.ResponseHead;

/** A sink that records the response that it receives. Used by one thread. */
final class RecordingSink implements ResponseSink {

    private final CompletableFuture<Void> mCancelled = new CompletableFuture<>();
    private final List<ResponseHead> mHeads = new ArrayList<>();
    private ByteString mBody = ByteString.EMPTY;
    private int mEndCount;
    private RuntimeException mBodyFailure;

    @Override
    public void writeHead(ResponseHead head) {
        mHeads.add(head);
    }

    @Override
    public void writeBody(ByteString data) {
        if (mBodyFailure != null) {
            throw mBodyFailure;
        }
        mBody = mBody.concat(data);
    }

    @Override
    public void end() {
        mEndCount++;
    }

    @Override
    public boolean isUnsent() {
        return mHeads.isEmpty();
    }

    @Override
    public CompletableFuture<Void> cancelled() {
        return mCancelled;
    }

    void cancelCall() {
        mCancelled.complete(null);
    }

    void failBodyWith(RuntimeException failure) {
        mBodyFailure = failure;
    }

    List<ResponseHead> heads() {
        return mHeads;
    }

    String bodyText() {
        return mBody.toStringUtf8();
    }

    int endCount() {
        return mEndCount;
    }
}
