package io.beryldock.admission;

import io.beryldock.call.Call;

/**
 * Number of a kind of request whose service times are alike: those of one caller, method and beginning of the path.
 *
 * <p>Two kinds may share a number, which then stands for both. Stateless, thread safe.
 */
public final class RequestKind {

    /** Stands for requests that are not told apart. */
    public static final int NONE = 0;

    private static final int FACTOR = 31;

    private RequestKind() {}

    /** The kind of a call; its path counts up to the second slash or the query. */
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
