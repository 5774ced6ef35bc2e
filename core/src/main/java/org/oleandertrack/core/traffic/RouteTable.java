package org.oleandertrack.core.traffic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a request by host and longest path prefix. Immutable. */
public final class RouteTable {

    private final Map<String, List<Route>> mByHost = new HashMap<>();

    /** Creates a table of the given routes. */
    public RouteTable(List<Route> routes) {
        for (Route route : routes) {
            mByHost.computeIfAbsent(normalise(route.host()), host -> new ArrayList<>()).add(route);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route route) -> route.prefix().length()).reversed();
        mByHost.values().forEach(list -> list.sort(longestFirst));
    }

    /**
     * Finds a route.
     *
     * @param host value of the {@code Host} header, with or without a port
     * @param requestTarget HTTP request target: a path, with or without a query
     */
    public Optional<Route> find(String host, String requestTarget) {
        int query = requestTarget.indexOf('?');
        String path = query < 0 ? requestTarget : requestTarget.substring(0, query);
        for (Route route : mByHost.getOrDefault(normalise(withoutPort(host)), List.of())) {
            if (path.startsWith(route.prefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    private static String normalise(String host) {
        return host.toLowerCase(Locale.ROOT);
    }
}
