package org.oleandertrack.protocol;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.Hello;
import org.oleandertrack.protocol.message.ResponseEnd;
import org.oleandertrack.protocol.message.ResponseHead;

/**
 * A call received from a peer. Sets the call id of the response frames that it sends. Thread safe.
 */
public interface InboundCall {

    /** Returns the call's head. */
    Call head();

    /** Returns the whole request body. */
    ByteString body();

    /** Returns the Hello that the peer sent in the handshake. */
    Hello peer();

    /** Sends status and headers. A head after the first head or after a body part is ignored. */
    void respondHead(ResponseHead head);

    /**
     * Sends a part of the response body. Parts that wait for credit count towards the connection's
     * unsent bytes. A part that would raise the unsent bytes above the limit closes the connection.
     *
     * @return completes when the part is sent and credit remains for the next one, or when the call
     *     ends with all of its parts sent; fails if the call has already ended, if it is cancelled,
     *     or if the connection closes
     */
    CompletableFuture<Void> respondBody(ByteString data);

    /**
     * Ends the call once all body parts are sent. Heads, parts and ends passed in after this method
     * is called are ignored.
     */
    void respondEnd(ResponseEnd end);

    /**
     * Completes, on an I/O thread, when the peer cancels the call, when the connection closes
     * before the end is sent, or when the response head exceeds the peer's frame limit.
     */
    CompletableFuture<Void> cancelled();
}
