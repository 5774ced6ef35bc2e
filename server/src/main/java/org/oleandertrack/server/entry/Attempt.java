package org.oleandertrack.server.entry;

import com.google.protobuf.ByteString;
import java.util.concurrent.BlockingQueue;
import org.oleandertrack.protocol.OutboundCall;
import org.oleandertrack.protocol.PeerConnection;
import org.oleandertrack.protocol.ResponseListener;
import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.ResponseEnd;
import org.oleandertrack.protocol.message.ResponseHead;

/**
 * One attempt of a call over one connection. Its events go to a queue that attempts of the same
 * call share; the response window of the connection bounds them. Thread safe.
 */
final class Attempt implements ResponseListener {

    /** An event with the attempt that it belongs to. */
    record Tagged(Attempt attempt, AttemptEvent event) {}

    private final BlockingQueue<Tagged> mEvents;
    private OutboundCall mCall;

    private Attempt(BlockingQueue<Tagged> events) {
        mEvents = events;
    }

    // Life-cycle

    /** Sends a call. */
    static Attempt start(
            PeerConnection connection, Call head, ByteString body, BlockingQueue<Tagged> events) {
        Attempt attempt = new Attempt(events);
        attempt.mCall = connection.call(head, body, attempt);
        return attempt;
    }

    /** Cancels the attempt at its peer. */
    void cancel() {
        mCall.cancel();
    }

    // Operations

    /** Returns the credit of bytes that were passed on. */
    void consumed(int bytes) {
        mCall.consumed(bytes);
    }

    // Events of the connection

    @Override
    public void onHead(ResponseHead head) {
        add(new AttemptEvent.Head(head));
    }

    @Override
    public void onBody(ByteString data) {
        add(new AttemptEvent.Body(data));
    }

    @Override
    public void onEnd(ResponseEnd end) {
        add(new AttemptEvent.End(end));
    }

    @Override
    public void onLost(boolean mayHaveArrived) {
        add(new AttemptEvent.Lost(mayHaveArrived));
    }

    // Helpers

    private void add(AttemptEvent event) {
        mEvents.add(new Tagged(this, event));
    }
}
