package org.oleandertrack.gateway.host;

import java.util.Optional;
import org.oleandertrack.coordination.store.StoredRow;
import org.oleandertrack.core.discovery.TargetRecord;
import org.oleandertrack.core.traffic.TrafficConfig;

/** Where the platform keeps its configuration and its targets, and how rows are read. */
public interface PlatformTables {

    /** Returns the table with the configuration. */
    String configTable();

    /** Returns the table with the targets. */
    String targetTable();

    /**
     * Reads a row of the configuration table; empty if it is not the configuration.
     *
     * @throws IllegalArgumentException if the configuration cannot be read
     */
    Optional<TrafficConfig> readConfig(StoredRow row);

    /** Reads a row of the target table; empty if it names no target that can be used. */
    Optional<TargetRecord> readTarget(StoredRow row);
}
