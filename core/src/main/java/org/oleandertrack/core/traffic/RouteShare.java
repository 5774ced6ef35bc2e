package org.oleandertrack.core.traffic;

/**
 * Share of a route's requests that goes to one service.
 *
 * @param service name of the service
 * @param weight weight of the share relative to the other shares of the route; positive
 */
public record RouteShare(String service, long weight) {}
