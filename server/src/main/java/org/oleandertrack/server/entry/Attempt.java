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
 * One attempt of a call over one connection. Its events are put into a queue, which it can share
 * with a hedge, a second attempt of the same call. The queue is unbounded; flow control of the
 * connection limits the response bytes in it. Thread safe.
 */
final class Attempt implements ResponseListener {

    /** An event in the queue and the attempt that it belongs to. */
    record QueuedEvent(Attempt attempt, AttemptEvent event) {}

    private final BlockingQueue<QueuedEvent> mEvents;
    private OutboundCall mCall;

    private Attempt(BlockingQueue<QueuedEvent> events) {
        mEvents = events;
    }

    // Life-cycle

    /** Sends a call over a connection. */
    static Attempt start(
            PeerConnection connection,
            Call head,
            ByteString body,
            BlockingQueue<QueuedEvent> events) {
        Attempt attempt = new Attempt(events);
        attempt.mCall = connection.call(head, body, attempt);
        return attempt;
    }

    /** Asks the peer to stop the attempt. */
    void cancel() {
        mCall.cancel();
    }

    // Operations

    /** Returns flow-control credit for response bytes that have been processed. */
    void returnCredit(int bytes) {
        mCall.returnCredit(bytes);
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
    public void onConnectionLost(boolean mayHaveArrived) {
        add(new AttemptEvent.ConnectionLost(mayHaveArrived));
    }

    // Helpers

    private void add(AttemptEvent event) {
        mEvents.add(new QueuedEvent(this, event));
    }
}
