package io.beryldock.admission;

import io.beryldock.call.Call;

/**
 * Number that identifies a kind of request with similar service times: the requests with the same caller, method and
 * first segment of the path.
 *
 * <p>It is a hash: two kinds may share a number and are then treated as one. Stateless and thread safe.
 */
public final class RequestKind {

    /** Number of requests whose kinds are not distinguished. */
    public static final int NONE = 0;

    private static final int FACTOR = 31;

    private RequestKind() {}

    /** Returns the kind of a call; its path counts up to the second slash or the query. */
    public static int of(Call call) {
        int hash = FACTOR * call.caller().hashCode() + call.method().hashCode();
        String path = call.path();
        for (int i = 0; i < path.length() && !endsFirstSegment(path, i); i++) {
            hash = FACTOR * hash + path.charAt(i);
        }
        return hash == NONE ? 1 : hash;
    }

    private static boolean endsFirstSegment(String path, int at) {
        char next = path.charAt(at);
        return next == '?' || (next == '/' && at > 0);
    }
}
