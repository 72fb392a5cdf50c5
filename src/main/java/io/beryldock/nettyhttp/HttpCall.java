package io.beryldock.nettyhttp;

import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;
import java.util.function.Predicate;

/**
 * A request that a client sends, complete with its body. Immutable.
 *
 * @param uri path and query
 * @param headers all headers but those that frame the body
 * @param own tells by its headers whether a response answers this call; another one is skipped. It guards against an
 *     answer that comes twice, or late, and would be taken for that of the next request on the connection
 * @param freshConnection whether the call must not meet a connection that has been idle, whose other end may have
 *     closed it unseen: the call would be lost with nobody knowing whether it ran
 */
public record HttpCall(
        String method, String uri, Headers headers, ByteString body, Predicate<Headers> own, boolean freshConnection) {

    /** A call whose responses are not told apart by a header. */
    public static HttpCall of(String method, String uri, Headers headers, ByteString body) {
        return new HttpCall(method, uri, headers, body, any -> true, false);
    }
}
