package org.oleandertrack.server.entry;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.protocol.message.ResponseHead;

/** A caller that records what it receives. Used by one thread. */
final class RecordingSink implements ResponseSink {

    private final CompletableFuture<Void> mCancelled = new CompletableFuture<>();
    private final List<ResponseHead> mHeads = new ArrayList<>();
    private ByteString mBody = ByteString.EMPTY;
    private int mEnds;
    private RuntimeException mBodyFailure;

    @Override
    public void head(ResponseHead head) {
        mHeads.add(head);
    }

    @Override
    public void body(ByteString data) {
        if (mBodyFailure != null) {
            throw mBodyFailure;
        }
        mBody = mBody.concat(data);
    }

    @Override
    public void end() {
        mEnds++;
    }

    @Override
    public boolean isUncommitted() {
        return mHeads.isEmpty();
    }

    @Override
    public CompletableFuture<Void> cancelled() {
        return mCancelled;
    }

    void leave() {
        mCancelled.complete(null);
    }

    void failBodyWith(RuntimeException failure) {
        mBodyFailure = failure;
    }

    List<ResponseHead> heads() {
        return mHeads;
    }

    String text() {
        return mBody.toStringUtf8();
    }

    int ends() {
        return mEnds;
    }
}
