package org.oleandertrack.protocol;

/** Version of the inner protocol that this code speaks. */
public final class ProtocolVersion {

    /** Raised by a change that an older receiver cannot read; receivers refuse another value. */
    public static final int MAJOR = 1;

    /** Raised by an addition that an older receiver can ignore. */
    public static final int MINOR = 0;

    private ProtocolVersion() {}
}
