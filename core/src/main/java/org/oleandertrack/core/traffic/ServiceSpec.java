package org.oleandertrack.core.traffic;

import java.util.Optional;

/**
 * A group of targets that serve the same requests.
 *
 * @param name name of the service
 * @param connectionLimit connections that each target accepts from all callers together
 * @param engine present if the targets are model engines
 */
public record ServiceSpec(String name, int connectionLimit, Optional<EngineSpec> engine) {}
