package org.oleandertrack.coordination.config;

/** The state of the configuration at a version, in encoded form. Immutable. */
public final class ConfigSnapshot {

    private final long mVersion;
    private final byte[] mData;

    /** Creates a snapshot with a copy of the bytes. */
    public ConfigSnapshot(long version, byte[] data) {
        mVersion = version;
        mData = data.clone();
    }

    /** Returns the version of the last change that the state contains. */
    public long version() {
        return mVersion;
    }

    /** Returns a copy of the encoded state. */
    public byte[] data() {
        return mData.clone();
    }
}
