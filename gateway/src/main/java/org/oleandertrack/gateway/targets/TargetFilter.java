package org.oleandertrack.gateway.targets;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.oleandertrack.core.discovery.TargetRecord;

/**
 * The targets of a service to which a request may be sent. Immutable.
 *
 * @param excludedIds ids of targets that must not get it
 * @param softwareVersion the only version that may get it, because the request continues a stream;
 *     empty if any version may
 */
public record TargetFilter(Set<String> excludedIds, Optional<String> softwareVersion) {

    /** Copies the ids. */
    public TargetFilter {
        excludedIds = Set.copyOf(excludedIds);
    }

    /** Returns a filter that excludes further targets. */
    public TargetFilter withExcluded(Set<String> furtherIds) {
        Set<String> ids = new HashSet<>(excludedIds);
        ids.addAll(furtherIds);
        return new TargetFilter(ids, softwareVersion);
    }

    boolean accepts(TargetRecord target) {
        return !excludedIds.contains(target.id())
                && softwareVersion.map(target.softwareVersion()::equals).orElse(true);
    }
}
