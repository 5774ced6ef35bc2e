package org.oleandertrack.gateway.host;

import java.util.Optional;
import org.oleandertrack.coordination.store.StoredRow;
import org.oleandertrack.core.discovery.TargetRecord;
import org.oleandertrack.core.traffic.TrafficConfig;

/** The store tables that hold the configuration and the targets, and the format of their rows. */
public interface PlatformTables {

    /** Returns the name of the table that holds the configuration. */
    String configTable();

    /** Returns the name of the table that holds the targets. */
    String targetTable();

    /**
     * Decodes a row of the configuration table; empty if the row does not hold the configuration.
     *
     * @throws IllegalArgumentException if the row holds the configuration but cannot be decoded
     */
    Optional<TrafficConfig> readConfig(StoredRow row);

    /**
     * Returns a row as it may be passed on to peers: with digests instead of access keys. {@link
     * #readConfig} decodes both forms alike.
     */
    StoredRow withoutSecrets(StoredRow row);

    /** Decodes a row of the target table; empty if it does not describe a usable target. */
    Optional<TargetRecord> readTarget(StoredRow row);
}
