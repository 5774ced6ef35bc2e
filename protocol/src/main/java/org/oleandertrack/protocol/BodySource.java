package org.oleandertrack.protocol;

/**
 * A request or response body that is sent in several frames while the channel is writable. Used on
 * the I/O thread only.
 */
interface BodySource {

    /**
     * Sends the next frame of the body, if flow control allows one.
     *
     * @return true if a further frame can be sent now
     */
    boolean sendNextFrame();
}
