package org.oleandertrack.protocol;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Hello;

/** A connection to a peer after the handshake. Thread safe. */
public interface PeerConnection {

    /** Returns what the peer said of itself in the handshake. */
    Hello peer();

    /**
     * Starts a call. A connection that is closed already reports {@code onLost(false)}. A call that
     * is refused here ends as not run: with MEMORY_LIMIT_REACHED if too many bytes wait for the
     * peer, with FRAME_TOO_LARGE if its head exceeds the peer's largest frame.
     *
     * @param head the call's head; its call id and body length are filled in, and so is the
     *     receiver's incarnation if it is 0
     */
    OutboundCall call(Call head, ByteString body, ResponseListener listener);

    /**
     * Sends a control frame.
     *
     * @throws IllegalArgumentException if the frame belongs to a call or to the handshake
     * @throws ResultException with FRAME_TOO_LARGE if the peer does not accept frames of its size
     */
    void send(Frame frame);

    /**
     * Converts an instant of the local monotonic clock to the earliest instant of the peer's clock
     * that it can be. The conversion uses stamps of the peer, so it never gives a later instant
     * than the true one, apart from clock drift, for which it deducts an allowance.
     *
     * @param localNanos local {@code System.nanoTime()} reading
     */
    long toPeerNanos(long localNanos);

    /** Completes when the connection is closed. */
    CompletableFuture<Void> closed();

    /** Closes the connection at once; calls under way are lost and unwritten frames dropped. */
    void close();
}
