package org.oleandertrack.gateway.call;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import org.oleandertrack.coordination.conversation.Conversation;
import org.oleandertrack.coordination.conversation.ConversationService;
import org.oleandertrack.coordination.conversation.KeepResult;
import org.oleandertrack.coordination.conversation.KeptTurn;
import org.oleandertrack.coordination.conversation.TurnLookup;

/**
 * The conversation of one turn: the turns before it, its input, and the data of the events that the
 * caller was sent. Confined to the call's event loop.
 */
final class CallHistory {

    // A turn with more output is forwarded, but not kept.
    private static final int MAX_OUTPUT_BYTES = 256 * 1024;

    private final ConversationService mConversations;
    private final CallMetadata mMetadata;
    private final long mRetentionMillis;
    private final byte[] mInput;
    private final EventLoop mLoop;
    private final CallLog mLog;
    private final ByteBuf mOutput = Unpooled.buffer(0);
    private boolean mOutputTooLong;
    private Conversation mPrevious = Conversation.EMPTY;

    /**
     * Creates the history of a turn.
     *
     * @param input body of the caller's request
     */
    CallHistory(
            ConversationService conversations,
            CallMetadata metadata,
            long retentionMillis,
            ByteBuf input,
            EventLoop loop,
            CallLog log) {
        mConversations = conversations;
        mMetadata = metadata;
        mRetentionMillis = retentionMillis;
        mInput = ByteBufUtil.getBytes(input);
        mLoop = loop;
        mLog = log;
    }

    /** Finds the turns before this one. The first turn of a conversation has none. */
    void find(Consumer<TurnLookup> onResult) {
        if (mMetadata.previousTurnId().isEmpty()) {
            onResult.accept(new TurnLookup.Found(mPrevious, TurnLookup.Source.LOCAL));
            return;
        }
        String previousTurnId = mMetadata.previousTurnId().get();
        long startNanos = System.nanoTime();
        var _ =
                mConversations
                        .find(mMetadata.storedPreviousTurnId().get(), mRetentionMillis)
                        .thenAccept(
                                lookup ->
                                        runOnLoop(
                                                () -> {
                                                    mLog.previousTurn(
                                                            previousTurnId,
                                                            lookup,
                                                            System.nanoTime() - startNanos);
                                                    onFound(lookup, onResult);
                                                }));
    }

    /** Returns the body that the target receives: the conversation so far and the new input. */
    ByteBuf requestBody() {
        return Unpooled.wrappedBuffer(mPrevious.text(), mInput);
    }

    /** Records an event that was forwarded to the caller. */
    void recordEvent(EventSplitter.Event event) {
        if (mOutputTooLong) {
            return;
        }
        if (mOutput.readableBytes() + event.bytes().readableBytes() > MAX_OUTPUT_BYTES) {
            mOutputTooLong = true;
            mOutput.clear().capacity(0);
            mLog.turnTooLong(MAX_OUTPUT_BYTES);
            return;
        }
        if (event.appendData(mOutput)) {
            mOutput.writeByte('\n');
        }
    }

    /** Keeps the turn, whose last event was forwarded. */
    void keep(Consumer<KeepResult> onResult) {
        if (mOutputTooLong) {
            KeepResult tooLong =
                    new KeepResult.NotKept("its output exceeds " + MAX_OUTPUT_BYTES + " bytes");
            mLog.turnKept(tooLong, 0);
            onResult.accept(tooLong);
            return;
        }
        KeptTurn turn =
                new KeptTurn(
                        mMetadata.storedRequestId(),
                        mPrevious.append(mInput, ByteBufUtil.getBytes(mOutput)),
                        mRetentionMillis);
        long startNanos = System.nanoTime();
        var _ =
                mConversations
                        .keep(turn)
                        .thenAccept(
                                result ->
                                        runOnLoop(
                                                () -> {
                                                    mLog.turnKept(
                                                            result, System.nanoTime() - startNanos);
                                                    onResult.accept(result);
                                                }));
    }

    /** Forgets the turn, because the caller did not get its whole response. */
    void forget() {
        mConversations.forget(mMetadata.storedRequestId());
    }

    private void onFound(TurnLookup lookup, Consumer<TurnLookup> onResult) {
        if (lookup instanceof TurnLookup.Found found) {
            mPrevious = found.conversation();
        }
        onResult.accept(lookup);
    }

    // Runs at once on the event loop, so that a turn in this host's memory waits for nothing.
    private void runOnLoop(Runnable task) {
        if (mLoop.inEventLoop()) {
            task.run();
            return;
        }
        mLoop.execute(task);
    }
}
