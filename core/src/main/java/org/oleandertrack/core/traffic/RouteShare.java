package org.oleandertrack.core.traffic;

/**
 * The part of a route's requests that one service gets.
 *
 * @param service name of the service
 * @param weight size of the part, relative to the other parts of the route; positive
 */
public record RouteShare(String service, long weight) {}
