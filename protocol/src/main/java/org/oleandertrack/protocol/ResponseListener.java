package org.oleandertrack.protocol;

import com.google.protobuf.ByteString;
import org.oleandertrack.protocol.message.ResponseEnd;
import org.oleandertrack.protocol.message.ResponseHead;

/**
 * Receives the response to a call: at most one head, parts of the body, then exactly one of end or
 * lost. Called on an I/O thread; implementations must not block.
 */
public interface ResponseListener {

    /** Receives status and headers. */
    void onHead(ResponseHead head);

    /** Receives a part of the body; {@link OutboundCall#returnCredit} returns its credit. */
    void onBody(ByteString data);

    /** Receives the end of the call. */
    void onEnd(ResponseEnd end);

    /**
     * The connection closed before the end.
     *
     * @param mayHaveArrived false only if the peer cannot have received the whole call
     */
    void onConnectionLost(boolean mayHaveArrived);
}
