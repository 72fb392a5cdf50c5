package io.beryldock.http;

import com.google.common.collect.ImmutableSet;
import io.beryldock.call.Headers;
import java.util.Arrays;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Removes the headers that belong to one connection, and those of our own.
 *
 * <p>A caller that sets {@code Beryldock-*} itself could raise its own priority or take another's allowance: they are
 * dropped at the callers' listener, and ours are added only after. Stateless.
 */
public final class HeaderFilter {

    private static final String OWN_PREFIX = "beryldock-";
    private static final ImmutableSet<String> HOP_BY_HOP = ImmutableSet.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length");

    private HeaderFilter() {}

    /** The end-to-end headers that are not our own. */
    static Headers endToEnd(Headers headers) {
        return withoutHopByHop(headers).without(name -> {
            String lower = name.toLowerCase(Locale.ROOT);
            return lower.startsWith(OWN_PREFIX) || lower.equals("host");
        });
    }

    /** The headers that do not concern one connection only. */
    public static Headers withoutHopByHop(Headers headers) {
        Set<String> named = namedByConnection(headers);
        return headers.without(name -> {
            String lower = name.toLowerCase(Locale.ROOT);
            return HOP_BY_HOP.contains(lower) || named.contains(lower);
        });
    }

    private static Set<String> namedByConnection(Headers headers) {
        return headers.list().stream()
                .filter(header -> header.name().equalsIgnoreCase("connection"))
                .flatMap(header -> Arrays.stream(header.value().split(",", -1)))
                .map(name -> name.trim().toLowerCase(Locale.ROOT))
                .collect(Collectors.toSet());
    }

    /** Sum of the lengths of names and values. */
    static int size(Headers headers) {
        return headers.list().stream()
                .mapToInt(header -> header.name().length() + header.value().length())
                .sum();
    }
}
