package io.beryldock.forwarding;

import io.beryldock.configuration.Route;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * The latest observation of each route, kept across configuration changes.
 *
 * <p>Thread safe. Memory is bounded: all observations are dropped when changing routes have filled the cache.
 */
final class PerRouteCache<T> {

    private static final int MAX_ROUTES = 10_000;

    private final ConcurrentMap<String, T> values = new ConcurrentHashMap<>();

    Optional<T> get(Route route) {
        return Optional.ofNullable(values.get(key(route)));
    }

    void put(Route route, T value) {
        if (values.size() >= MAX_ROUTES) {
            values.clear();
        }
        values.put(key(route), value);
    }

    private static String key(Route route) {
        return route.host() + route.prefix();
    }
}
