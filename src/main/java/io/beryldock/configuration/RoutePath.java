package io.beryldock.configuration;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;

/**
 * Normalises the path of a request for matching against routes. Stateless, thread safe.
 *
 * <p>Guards against a request that reaches a non-idempotent path of a service by another spelling, such as {@code
 * //orders} or {@code /%6Frders}: a wider, idempotent route would match it, and the request could be retried and
 * executed twice. Targets treat such spellings as the same path, so routes do as well.
 */
final class RoutePath {

    private RoutePath() {}

    /** Returns the path without query, percent-encoding, empty segments and dot segments. */
    static String of(String pathAndQuery) {
        boolean canonical = true;
        char last = 0;
        int end = 0;
        while (end < pathAndQuery.length()) {
            char ch = pathAndQuery.charAt(end);
            if (ch == '?') {
                break;
            }
            canonical &= ch != '%' && (last != '/' || (ch != '/' && ch != '.'));
            last = ch;
            end++;
        }
        String path = pathAndQuery.substring(0, end);
        return canonical ? path : normalise(path);
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
            // A plus sign in a path is literal, but this decoder is for form data, in which it stands for a space.
            return URLDecoder.decode(path.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return path;
        }
    }
}
