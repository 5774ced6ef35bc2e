package org.oleandertrack.core.traffic;

import java.util.List;
import java.util.Map;
import org.oleandertrack.core.organisation.OrganisationDirectory;

/**
 * One version of the traffic configuration. Immutable.
 *
 * @param version increases with each change
 * @param routes all routes
 * @param services all services by name
 * @param limits limits on callers' requests
 * @param organisations the organisations to which callers belong
 */
public record TrafficConfig(
        long version,
        List<Route> routes,
        Map<String, ServiceSpec> services,
        CallerLimits limits,
        OrganisationDirectory organisations) {}
