package org.basilrill.state.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Finds the route of a request: the one at its host with the longest matching prefix. Immutable and thread safe. */
public final class RouteTable {
    private final Map<String, List<CallRoute>> byHost = new HashMap<>();
    private final List<CallRoute> routes;

    /** Creates a table of routes, no two of which have the same host and prefix. */
    public RouteTable(Collection<CallRoute> routes) {
        this.routes = List.copyOf(routes);
        for (CallRoute route : this.routes) {
            byHost.computeIfAbsent(route.host(), absent -> new ArrayList<>()).add(route);
        }
        Comparator<CallRoute> longestFirst =
                Comparator.comparingInt(route -> -route.pathPrefix().length());
        byHost.values().forEach(atHost -> atHost.sort(longestFirst));
    }

    /** Returns a table without routes. */
    public static RouteTable empty() {
        return new RouteTable(List.of());
    }

    /** Returns all routes, in the order in which they were given. */
    public List<CallRoute> routes() {
        return routes;
    }

    /**
     * Returns the route of a request.
     *
     * @param host host name without a port, in lower case
     * @param path path without the query
     */
    public Optional<CallRoute> find(String host, String path) {
        for (CallRoute route : byHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the regions that each route of a host allows, without the routes that name none.
     *
     * @param host host name without a port, in lower case
     */
    public List<Set<String>> regionsAt(String host) {
        return byHost.getOrDefault(host, List.of()).stream()
                .map(CallRoute::allowedRegions)
                .filter(regions -> !regions.isEmpty())
                .toList();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof RouteTable table && table.routes.equals(routes);
    }

    @Override
    public int hashCode() {
        return routes.hashCode();
    }
}
