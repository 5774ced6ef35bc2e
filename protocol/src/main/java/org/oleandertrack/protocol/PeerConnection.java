package org.oleandertrack.protocol;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Hello;

/** A connection to a peer on which the handshake is complete. Thread safe. */
public interface PeerConnection {

    /** Returns the Hello that the peer sent in the handshake. */
    Hello peer();

    /**
     * Starts a call. If the connection is already closed, the listener receives {@link
     * ResponseListener#onConnectionLost} with {@code false}. A call that cannot be sent ends with
     * EXECUTION_NOT_RUN and an error code: MEMORY_LIMIT_REACHED if too many bytes wait to be sent
     * to the peer, FRAME_TOO_LARGE if its head exceeds the peer's frame limit.
     *
     * @param head the call's head; this method sets its call id and body length, and sets the
     *     receiver's incarnation to the peer's if it is 0
     */
    OutboundCall call(Call head, ByteString body, ResponseListener listener);

    /**
     * Sends a control frame.
     *
     * @throws IllegalArgumentException if the frame belongs to a call or to the handshake
     * @throws ResultException with FRAME_TOO_LARGE if the frame exceeds the peer's frame limit
     */
    void send(Frame frame);

    /**
     * Converts an instant of the local monotonic clock to a lower bound of the peer's monotonic
     * clock at that instant. The bound is computed from clock readings in the peer's frames and
     * holds if the two clocks drift apart by no more than 1 part in 1,000.
     *
     * @param localNanos reading of the local monotonic clock, in nanoseconds
     */
    long toPeerNanos(long localNanos);

    /** Completes when the connection is closed. */
    CompletableFuture<Void> closed();

    /** Closes the connection immediately. Open calls are lost and unwritten frames dropped. */
    void close();
}
