package org.oleandertrack.server.entry;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.message.ResponseHead;

/**
 * Collects the answer of a turn for its history record. A streamed answer is passed on at once, but
 * for its end mark, which is held back until the turn is durable; a whole answer is held back in
 * full. Used by one thread.
 */
final class TurnAnswer implements ResponseSink {

    private static final ByteString END_MARK =
            ByteString.copyFrom("data: [DONE]", StandardCharsets.US_ASCII);

    private final ResponseSink mCaller;
    private final boolean mStreamed;
    private final int mMaxBytes;
    private ResponseHead mHead = ResponseHead.getDefaultInstance();
    private ByteString mBody = ByteString.EMPTY;
    private int mPassedOn;

    TurnAnswer(ResponseSink caller, boolean streamed, int maxBytes) {
        mCaller = caller;
        mStreamed = streamed;
        mMaxBytes = maxBytes;
    }

    // Operations

    @Override
    public void head(ResponseHead head) {
        mHead = head;
        mBody = ByteString.EMPTY;
        if (mStreamed) {
            mCaller.head(head);
        }
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
        if (mStreamed) {
            passOnUpTo(safeEnd());
        }
    }

    @Override
    public void end() {}

    /** Sends what was held back, after the turn has become durable. */
    void release() {
        if (!mStreamed) {
            mCaller.head(mHead);
        }
        passOnUpTo(mBody.size());
        mCaller.end();
    }

    // Accessors

    StoredAnswer answer() {
        return new StoredAnswer(mHead, mBody);
    }

    @Override
    public boolean isUncommitted() {
        return mCaller.isUncommitted();
    }

    @Override
    public CompletableFuture<Void> cancelled() {
        return mCaller.cancelled();
    }

    // Helpers

    private void passOnUpTo(int end) {
        if (end > mPassedOn) {
            mCaller.body(mBody.substring(mPassedOn, end));
            mPassedOn = end;
        }
    }

    /** Returns the start of the end mark, also of one that has arrived only in part. */
    private int safeEnd() {
        for (int start = Math.max(mPassedOn, 0); start < mBody.size(); start++) {
            int length = Math.min(END_MARK.size(), mBody.size() - start);
            boolean lineStart = start == 0 || mBody.byteAt(start - 1) == '\n';
            if (lineStart
                    && mBody.substring(start, start + length)
                            .equals(END_MARK.substring(0, length))) {
                return start;
            }
        }
        return mBody.size();
    }
}
