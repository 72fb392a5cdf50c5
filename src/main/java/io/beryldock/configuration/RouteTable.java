package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request: among the matching routes, the one with the longest prefix, then one that names the
 * method.
 *
 * <p>Immutable. A look-up costs one hash-map access per path segment, up to the number of segments of the deepest
 * prefix, regardless of the number of routes and the length of the path.
 */
final class RouteTable {

    private final ImmutableMap<String, ImmutableList<Route>> byPrefix;
    private final int maxDepth;

    private RouteTable(ImmutableMap<String, ImmutableList<Route>> byPrefix, int maxDepth) {
        this.byPrefix = byPrefix;
        this.maxDepth = maxDepth;
    }

    static RouteTable of(Collection<Route> routes) {
        Map<String, List<Route>> lists = new HashMap<>();
        int depth = 0;
        for (Route route : routes) {
            lists.computeIfAbsent(route.prefix(), prefix -> new ArrayList<>()).add(route);
            depth = Math.max(depth, segments(route.prefix()));
        }
        ImmutableMap.Builder<String, ImmutableList<Route>> table = ImmutableMap.builder();
        lists.forEach((prefix, list) -> table.put(prefix, namedMethodsFirst(list)));
        return new RouteTable(table.buildOrThrow(), depth);
    }

    private static ImmutableList<Route> namedMethodsFirst(List<Route> routes) {
        List<Route> ordered = new ArrayList<>(routes);
        ordered.sort(
                (a, b) -> Boolean.compare(a.methods().isEmpty(), b.methods().isEmpty()));
        return ImmutableList.copyOf(ordered);
    }

    private static int segments(String prefix) {
        return (int) prefix.chars().filter(ch -> ch == '/').count();
    }

    Optional<Route> find(String method, String pathAndQuery) {
        String path = RoutePath.of(pathAndQuery);
        int end = endOfSegment(path, maxDepth);
        while (end > 0) {
            Optional<Route> route = at(method, path.substring(0, end));
            if (route.isPresent()) {
                return route;
            }
            end = path.lastIndexOf('/', end - 1);
        }
        return at(method, "/");
    }

    private Optional<Route> at(String method, String prefix) {
        ImmutableList<Route> routes = byPrefix.get(prefix);
        if (routes == null) {
            return Optional.empty();
        }
        for (Route route : routes) {
            if (route.matches(method)) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the index at which the segment with the given number ends, or the length of the path if it has fewer
     * segments.
     */
    private static int endOfSegment(String path, int number) {
        int end = 0;
        for (int i = 0; i < number; i++) {
            int next = path.indexOf('/', end + 1);
            if (next < 0) {
                return path.length();
            }
            end = next;
        }
        return end;
    }
}
