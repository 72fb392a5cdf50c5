package io.beryldock.configuration;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;

/**
 * The form of a request's path that routes are matched against. Stateless, thread safe.
 *
 * <p>Guards against a request that reaches a service's non-idempotent path by another spelling, such as {@code
 * //orders} or {@code /%6Frders}, and would be matched by a wider, idempotent route: it would then be retried and run
 * twice. Targets treat such spellings as one path, so routes do too.
 */
final class RoutePath {

    private RoutePath() {}

    /** Path without query, percent-encoding, empty and dot segments. */
    static String of(String pathAndQuery) {
        boolean plain = true;
        char last = 0;
        int end = 0;
        while (end < pathAndQuery.length()) {
            char ch = pathAndQuery.charAt(end);
            if (ch == '?') {
                break;
            }
            plain &= ch != '%' && (last != '/' || (ch != '/' && ch != '.'));
            last = ch;
            end++;
        }
        String path = pathAndQuery.substring(0, end);
        return plain ? path : normalise(path);
    }

    private static String normalise(String path) {
        String decoded = decode(path);
        StringBuilder out = new StringBuilder(decoded.length());
        for (String segment : decoded.split("/", -1)) {
            if (segment.isEmpty() || segment.equals(".")) {
                continue;
            }
            if (segment.equals("..")) {
                out.setLength(Math.max(0, out.lastIndexOf("/")));
            } else {
                out.append('/').append(segment);
            }
        }
        return out.length() == 0 ? "/" : out.toString();
    }

    private static String decode(String path) {
        try {
            // In a path a plus sign is itself; the decoder is one of forms, where it stands for a space.
            return URLDecoder.decode(path.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return path;
        }
    }
}
