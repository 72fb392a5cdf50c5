package io.beryldock.http;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.Headers;
import java.util.Arrays;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Removes hop-by-hop headers and the system's own {@code Beryldock-*} headers.
 *
 * <p>A caller that sets {@code Beryldock-*} headers could raise its own priority or use the allowance of another
 * caller. Therefore they are removed from each incoming request, and the node adds its own headers only afterwards.
 * Stateless.
 */
public final class HeaderFilter {

    private static final String BERYLDOCK_PREFIX = "beryldock-";
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

    /** Returns the end-to-end headers without {@code Host} and {@code Beryldock-*}. */
    static Headers endToEnd(Headers headers) {
        return withoutHopByHop(headers).without(name -> {
            String lower = name.toLowerCase(Locale.ROOT);
            return lower.startsWith(BERYLDOCK_PREFIX) || lower.equals("host");
        });
    }

    /** Returns the headers that are not limited to a single connection. */
    public static Headers withoutHopByHop(Headers headers) {
        ImmutableList<String> connection = headers.all(CONNECTION);
        if (connection.isEmpty()) {
            return headers.without(HeaderFilter::isHopByHop);
        }
        Set<String> options = connectionOptions(connection);
        return headers.without(name -> isHopByHop(name) || options.contains(name.toLowerCase(Locale.ROOT)));
    }

    /** Compares without a lower-case copy of the name, because it runs for each header of each request. */
    private static boolean isHopByHop(String name) {
        for (String hopByHop : HOP_BY_HOP) {
            if (hopByHop.equalsIgnoreCase(name)) {
                return true;
            }
        }
        return false;
    }

    private static Set<String> connectionOptions(ImmutableList<String> connection) {
        return connection.stream()
                .flatMap(value -> Arrays.stream(value.split(",", -1)))
                .map(name -> name.trim().toLowerCase(Locale.ROOT))
                .collect(Collectors.toSet());
    }

    /** Returns the total length of all header names and values. */
    static int size(Headers headers) {
        return headers.list().stream()
                .mapToInt(header -> header.name().length() + header.value().length())
                .sum();
    }
}
