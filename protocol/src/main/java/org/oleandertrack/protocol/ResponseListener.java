package org.oleandertrack.protocol;

import com.google.protobuf.ByteString;
import org.oleandertrack.protocol.message.ResponseEnd;
import org.oleandertrack.protocol.message.ResponseHead;

/**
 * Receives the response to a call: at most one head, parts of the body, then exactly one of {@link
 * #onEnd} or {@link #onConnectionLost}. Called on an I/O thread; implementations must not block.
 */
public interface ResponseListener {

    /** Receives status and headers. */
    void onHead(ResponseHead head);

    /**
     * Receives a part of the body. Once the bytes are processed, {@link OutboundCall#returnCredit}
     * returns their flow-control credit to the peer.
     */
    void onBody(ByteString data);

    /** Receives the result of the call, after the last part of the body. */
    void onEnd(ResponseEnd end);

    /**
     * Called when the connection closes before the end of the call has arrived.
     *
     * @param mayHaveArrived false only if the peer cannot have received the whole call
     */
    void onConnectionLost(boolean mayHaveArrived);
}
