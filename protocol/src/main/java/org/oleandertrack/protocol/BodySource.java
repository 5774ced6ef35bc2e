package org.oleandertrack.protocol;

/** A body that is sent in parts while the socket takes them. Used on the I/O thread only. */
interface BodySource {

    /**
     * Sends the next part, if one may be sent.
     *
     * @return true if another part may be sent after this one
     */
    boolean sendPart();
}
