package org.oleandertrack.server.entry;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.message.ResponseHead;

/** Collects an answer in memory up to a bound. Not thread safe. */
final class BufferedAnswer implements ResponseSink {

    private final int mMaxBytes;
    private final CompletableFuture<Void> mCancelled;
    private ResponseHead mHead = ResponseHead.getDefaultInstance();
    private ByteString mBody = ByteString.EMPTY;

    BufferedAnswer(int maxBytes, CompletableFuture<Void> cancelled) {
        mMaxBytes = maxBytes;
        mCancelled = cancelled;
    }

    // Operations

    @Override
    public void head(ResponseHead head) {
        mHead = head;
        mBody = ByteString.EMPTY;
    }

    @Override
    public void body(ByteString data) {
        if (mBody.size() + data.size() > mMaxBytes) {
            throw new ResultException(
                    ResultCode.MEMORY_LIMIT_REACHED,
                    Execution.RUN,
                    "the answer exceeds " + mMaxBytes + " bytes",
                    0);
        }
        mBody = mBody.concat(data);
    }

    @Override
    public void end() {}

    /** Passes the whole answer on. */
    void copyTo(ResponseSink sink) {
        sink.head(mHead);
        sink.body(mBody);
        sink.end();
    }

    // Accessors

    @Override
    public boolean isUncommitted() {
        return true;
    }

    @Override
    public CompletableFuture<Void> cancelled() {
        return mCancelled;
    }

    ResponseHead head() {
        return mHead;
    }

    ByteString body() {
        return mBody;
    }
}
