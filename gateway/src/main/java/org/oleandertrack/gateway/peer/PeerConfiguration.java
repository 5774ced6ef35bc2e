package org.oleandertrack.gateway.peer;

import java.util.Optional;
import java.util.OptionalLong;
import org.oleandertrack.coordination.store.StoredRow;

/** The configuration of this host, as peers ask for it and state it. Thread-safe. */
public interface PeerConfiguration {

    /** Returns the version in force; empty until the first one is read. */
    OptionalLong version();

    /** Returns whether callers need access keys; true until the first configuration is read. */
    boolean isKeyRequired();

    /** Returns the row that holds the configuration in force, without access keys. */
    Optional<StoredRow> row();

    /** Puts the configuration of a peer's row in force, unless a newer one is. */
    void onPeerRow(StoredRow row);
}
