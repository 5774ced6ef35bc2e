package org.oleandertrack.protocol;

/** Version of the inner protocol that this process implements. */
public final class ProtocolVersion {

    /**
     * Increased by a change that an older receiver cannot decode. A receiver rejects a peer whose
     * major version differs from its own.
     */
    public static final int MAJOR = 1;

    /** Increased by an addition that an older receiver can ignore. */
    public static final int MINOR = 0;

    private ProtocolVersion() {}
}
