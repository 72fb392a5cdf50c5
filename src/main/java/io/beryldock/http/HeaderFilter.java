package io.beryldock.http;

import com.google.common.collect.ImmutableList;
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
    private static final String CONNECTION = "connection";
    private static final ImmutableList<String> HOP_BY_HOP = ImmutableList.of(
            CONNECTION,
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
        ImmutableList<String> connection = headers.all(CONNECTION);
        if (connection.isEmpty()) {
            return headers.without(HeaderFilter::isHopByHop);
        }
        Set<String> named = namedBy(connection);
        return headers.without(name -> isHopByHop(name) || named.contains(name.toLowerCase(Locale.ROOT)));
    }

    /** Compares without making a copy of the name in lower case: it is asked for each header of each request. */
    private static boolean isHopByHop(String name) {
        for (String known : HOP_BY_HOP) {
            if (known.equalsIgnoreCase(name)) {
                return true;
            }
        }
        return false;
    }

    private static Set<String> namedBy(ImmutableList<String> connection) {
        return connection.stream()
                .flatMap(value -> Arrays.stream(value.split(",", -1)))
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
