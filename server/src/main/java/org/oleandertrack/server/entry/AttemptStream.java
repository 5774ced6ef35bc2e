package org.oleandertrack.server.entry;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.protocol.OutboundCall;
import org.oleandertrack.protocol.PeerConnection;
import org.oleandertrack.protocol.ResponseListener;
import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.ResponseEnd;
import org.oleandertrack.protocol.message.ResponseHead;

/**
 * The events of one attempt, for a thread that waits for them. The queue is bounded by the response
 * window of the connection. Thread safe; one consumer.
 */
final class AttemptStream implements ResponseListener {

    private final LinkedBlockingQueue<AttemptEvent> mEvents = new LinkedBlockingQueue<>();
    private OutboundCall mCall;

    /** Sends a call. */
    static AttemptStream start(PeerConnection connection, Call head, ByteString body) {
        AttemptStream stream = new AttemptStream();
        stream.mCall = connection.call(head, body, stream);
        return stream;
    }

    // Operations

    /** Waits for the next event; empty after the given time without one. */
    Optional<AttemptEvent> next(long timeoutMillis) {
        try {
            return Optional.ofNullable(mEvents.poll(timeoutMillis, TimeUnit.MILLISECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    /** Returns the credit of bytes that the consumer has passed on. */
    void consumed(int bytes) {
        mCall.consumed(bytes);
    }

    /** Cancels the attempt at its peer. */
    void cancel() {
        mCall.cancel();
    }

    /** Wakes the consumer because the caller has left. */
    void callerGone() {
        mEvents.add(new AttemptEvent.CallerGone());
    }

    // Events of the connection

    @Override
    public void onHead(ResponseHead head) {
        mEvents.add(new AttemptEvent.Head(head));
    }

    @Override
    public void onBody(ByteString data) {
        mEvents.add(new AttemptEvent.Body(data));
    }

    @Override
    public void onEnd(ResponseEnd end) {
        mEvents.add(new AttemptEvent.End(end));
    }

    @Override
    public void onLost(boolean mayHaveArrived) {
        mEvents.add(new AttemptEvent.Lost(mayHaveArrived));
    }
}
