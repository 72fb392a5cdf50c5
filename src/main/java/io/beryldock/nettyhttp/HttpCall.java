package io.beryldock.nettyhttp;

import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;
import java.util.Optional;

/**
 * A request that a client sends, complete with its body. Immutable.
 *
 * @param uri path and query
 * @param headers all headers but those that frame the body
 * @param id identifies the call in its response; empty if the server echoes no id, so that the next response on the
 *     connection is taken for that of the call
 * @param freshConnection whether the call must not meet a connection that has been idle, whose other end may have
 *     closed it unseen: the call would be lost with nobody knowing whether it ran
 */
public record HttpCall(
        String method, String uri, Headers headers, ByteString body, Optional<EchoedId> id, boolean freshConnection) {

    /** A call whose responses are not told apart by a header. */
    public static HttpCall of(String method, String uri, Headers headers, ByteString body) {
        return new HttpCall(method, uri, headers, body, Optional.empty(), false);
    }
}
