package org.oleandertrack.protocol;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.Hello;
import org.oleandertrack.protocol.message.ResponseEnd;
import org.oleandertrack.protocol.message.ResponseHead;

/** A call received from a peer. Thread safe. The call ids of sent frames are filled in. */
public interface InboundCall {

    /** Returns the call's head. */
    Call head();

    /** Returns the whole request body. */
    ByteString body();

    /** Returns what the peer said of itself in the handshake. */
    Hello peer();

    /** Sends status and headers, before any body; a later or second head is ignored. */
    void respondHead(ResponseHead head);

    /**
     * Sends a part of the response body. Parts that wait count towards the connection's unsent
     * bytes; a part larger than that limit closes the connection.
     *
     * @return completes when the peer's window allows the next part; fails if the call was
     *     cancelled or the connection closed
     */
    CompletableFuture<Void> respondBody(ByteString data);

    /** Ends the call. Later frames are ignored. */
    void respondEnd(ResponseEnd end);

    /**
     * Completes, on an I/O thread, when the peer cancels the call or its connection closes before
     * the end is sent.
     */
    CompletableFuture<Void> cancelled();
}
