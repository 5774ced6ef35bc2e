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
    private ByteString mHeldBack = ByteString.EMPTY;
    private boolean mAtLineStart = true;

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
        mHeldBack = ByteString.EMPTY;
        mAtLineStart = true;
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
        mHeldBack = mHeldBack.concat(data);
        if (mStreamed) {
            passOn(endMarkStart());
        }
    }

    @Override
    public void end() {}

    /** Sends what was held back, after the turn has become durable. */
    void release() {
        if (!mStreamed) {
            mCaller.head(mHead);
        }
        passOn(mHeldBack.size());
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

    private void passOn(int length) {
        if (length == 0) {
            return;
        }
        mCaller.body(mHeldBack.substring(0, length));
        mAtLineStart = mHeldBack.byteAt(length - 1) == '\n';
        mHeldBack = mHeldBack.substring(length);
    }

    /**
     * Returns where the end mark starts in the part that was held back, also if only its beginning
     * has arrived; the size of that part if there is none.
     */
    private int endMarkStart() {
        boolean lineStart = mAtLineStart;
        for (int start = 0; start < mHeldBack.size(); start++) {
            if (lineStart && mayBeEndMark(mHeldBack.substring(start))) {
                return start;
            }
            lineStart = mHeldBack.byteAt(start) == '\n';
        }
        return mHeldBack.size();
    }

    private static boolean mayBeEndMark(ByteString text) {
        return text.startsWith(END_MARK) || END_MARK.startsWith(text);
    }
}
