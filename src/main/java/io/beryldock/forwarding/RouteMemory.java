package io.beryldock.forwarding;

import io.beryldock.configuration.Route;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * What was seen last of each route, kept while the configuration changes.
 *
 * <p>Thread safe. Memory is bounded: what is known is given up when routes come and go too often.
 */
final class RouteMemory<T> {

    private static final int MAX_ROUTES = 10_000;

    private final ConcurrentMap<String, T> seen = new ConcurrentHashMap<>();

    Optional<T> of(Route route) {
        return Optional.ofNullable(seen.get(name(route)));
    }

    void put(Route route, T found) {
        if (seen.size() >= MAX_ROUTES) {
            seen.clear();
        }
        seen.put(name(route), found);
    }

    private static String name(Route route) {
        return route.host() + route.prefix();
    }
}
