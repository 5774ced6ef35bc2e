package org.oleandertrack.protocol;

import java.util.function.Consumer;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Hello;

/**
 * Receives control frames, which are the frames after the handshake that do not belong to a call:
 * heartbeats, configuration, leaving notices, memory releases, and attempt queries and statuses.
 * Called on an I/O thread; implementations must not block.
 */
public interface ControlHandler {

    /**
     * Handles a control frame.
     *
     * @param peer the sender's Hello
     * @param frame a control frame
     * @param reply sends a control frame on the connection that the frame arrived on
     */
    void onControl(Hello peer, Frame frame, Consumer<Frame> reply);
}
