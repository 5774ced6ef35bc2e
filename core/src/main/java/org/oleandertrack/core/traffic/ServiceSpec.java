package org.oleandertrack.core.traffic;

import java.util.Optional;

/**
 * A group of targets that serve the same requests.
 *
 * @param name name of the service
 * @param connectionLimit number of connections that each target accepts from all callers together
 * @param engine properties of the engines if the targets are model engines, empty otherwise
 */
public record ServiceSpec(String name, int connectionLimit, Optional<EngineSpec> engine) {}
