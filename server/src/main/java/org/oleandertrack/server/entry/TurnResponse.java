package org.oleandertrack.server.entry;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.message.ResponseHead;

/**
 * Collects the response of a turn for its history record. A streamed response is sent to the caller
 * as it arrives, except for the terminator of the stream, which is withheld until the turn is
 * durable. Any other response is withheld as a whole. Used by one thread.
 */
final class TurnResponse implements ResponseSink {

    private static final ByteString STREAM_TERMINATOR =
            ByteString.copyFrom("data: [DONE]", StandardCharsets.US_ASCII);

    private final ResponseSink mCallerSink;
    private final boolean mStreamed;
    private final int mMaxBytes;
    private ResponseHead mHead = ResponseHead.getDefaultInstance();
    private ByteString mBody = ByteString.EMPTY;
    private ByteString mWithheld = ByteString.EMPTY;
    private boolean mAtLineStart = true;

    TurnResponse(ResponseSink callerSink, boolean streamed, int maxBytes) {
        mCallerSink = callerSink;
        mStreamed = streamed;
        mMaxBytes = maxBytes;
    }

    // Operations

    @Override
    public void writeHead(ResponseHead head) {
        mHead = head;
        mBody = ByteString.EMPTY;
        mWithheld = ByteString.EMPTY;
        mAtLineStart = true;
        if (mStreamed) {
            mCallerSink.writeHead(head);
        }
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
        mWithheld = mWithheld.concat(data);
        if (mStreamed) {
            forward(terminatorStart());
        }
    }

    /** Does nothing, because {@link #release} ends the response to the caller. */
    @Override
    public void end() {}

    /** Sends what was withheld and ends the response; called once the turn is durable. */
    void release() {
        if (!mStreamed) {
            mCallerSink.writeHead(mHead);
        }
        forward(mWithheld.size());
        mCallerSink.end();
    }

    // Accessors

    StoredResponse toStoredResponse() {
        return new StoredResponse(mHead, mBody);
    }

    @Override
    public boolean isUnsent() {
        return mCallerSink.isUnsent();
    }

    @Override
    public CompletableFuture<Void> cancelled() {
        return mCallerSink.cancelled();
    }

    // Helpers

    private void forward(int byteCount) {
        if (byteCount == 0) {
            return;
        }
        mCallerSink.writeBody(mWithheld.substring(0, byteCount));
        mAtLineStart = mWithheld.byteAt(byteCount - 1) == '\n';
        mWithheld = mWithheld.substring(byteCount);
    }

    /**
     * Returns the offset of the stream terminator in the withheld bytes, even if only its first
     * bytes have arrived; the number of withheld bytes if there is no terminator.
     */
    private int terminatorStart() {
        boolean isLineStart = mAtLineStart;
        for (int start = 0; start < mWithheld.size(); start++) {
            if (isLineStart && mayBeTerminator(mWithheld.substring(start))) {
                return start;
            }
            isLineStart = mWithheld.byteAt(start) == '\n';
        }
        return mWithheld.size();
    }

    private static boolean mayBeTerminator(ByteString bytes) {
        return bytes.startsWith(STREAM_TERMINATOR) || STREAM_TERMINATOR.startsWith(bytes);
    }
}
