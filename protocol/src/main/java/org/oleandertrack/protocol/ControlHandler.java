package org.oleandertrack.protocol;

import java.util.function.Consumer;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Hello;

/**
 * Receives control frames of a connection: heartbeats, configuration, leaving notices, memory
 * releases and attempt queries. Called on an I/O thread; implementations must not block.
 */
public interface ControlHandler {

    /**
     * Handles a control frame.
     *
     * @param peer what the sender said of itself in the handshake
     * @param frame the frame; never one that belongs to a call
     * @param reply sends a frame back on the same connection
     */
    void onControl(Hello peer, Frame frame, Consumer<Frame> reply);
}
