package org.oleandertrack.server.entry;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.message.ResponseHead;

/** Collects a response in memory up to a maximum size. Not thread safe. */
final class BufferedResponse implements ResponseSink {

    private final int mMaxBytes;
    private final CompletableFuture<Void> mCancelled;
    private ResponseHead mHead = ResponseHead.getDefaultInstance();
    private ByteString mBody = ByteString.EMPTY;

    BufferedResponse(int maxBytes, CompletableFuture<Void> cancelled) {
        mMaxBytes = maxBytes;
        mCancelled = cancelled;
    }

    // Operations

    @Override
    public void writeHead(ResponseHead head) {
        mHead = head;
        mBody = ByteString.EMPTY;
    }

    @Override
    public void writeBody(ByteString data) {
        if (mBody.size() + data.size() > mMaxBytes) {
            throw new ResultException(
                    ResultCode.MEMORY_LIMIT_REACHED,
                    Execution.RUN,
                    "the response exceeds " + mMaxBytes + " bytes",
                    0);
        }
        mBody = mBody.concat(data);
    }

    /** Does nothing; the response is complete when the method that writes it has returned. */
    @Override
    public void end() {}

    /** Writes the whole response to a sink. */
    void copyTo(ResponseSink sink) {
        sink.writeHead(mHead);
        sink.writeBody(mBody);
        sink.end();
    }

    // Accessors

    @Override
    public boolean isUnsent() {
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
