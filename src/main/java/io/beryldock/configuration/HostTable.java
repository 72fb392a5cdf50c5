package io.beryldock.configuration;

import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request by host and path: among the routes of the host, the one with the longest prefix.
 *
 * <p>Immutable. Prefixes end with a slash and are compared character by character. A look-up costs one hash-map access
 * per slash in the path, regardless of the number of routes.
 */
final class HostTable {

    private final ImmutableMap<String, ImmutableMap<String, Route>> byHost;

    private HostTable(ImmutableMap<String, ImmutableMap<String, Route>> byHost) {
        this.byHost = byHost;
    }

    static HostTable of(Collection<Route> routes) {
        Map<String, Map<String, Route>> hosts = new HashMap<>();
        for (Route route : routes) {
            hosts.computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new HashMap<>())
                    .put(route.prefix(), route);
        }
        ImmutableMap.Builder<String, ImmutableMap<String, Route>> table = ImmutableMap.builder();
        hosts.forEach((host, prefixes) -> table.put(host, ImmutableMap.copyOf(prefixes)));
        return new HostTable(table.buildOrThrow());
    }

    Optional<Route> find(String host, String pathAndQuery) {
        ImmutableMap<String, Route> prefixes = byHost.get(withoutPort(host).toLowerCase(Locale.ROOT));
        if (prefixes == null) {
            return Optional.empty();
        }
        int query = pathAndQuery.indexOf('?');
        String path = query < 0 ? pathAndQuery : pathAndQuery.substring(0, query);
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route route = prefixes.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return colon < 0 || host.endsWith("]") ? host : host.substring(0, colon);
    }
}
