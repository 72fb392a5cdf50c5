package io.beryldock.nettyhttp;

import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;

/**
 * What a listener answers. Immutable.
 *
 * @param headers all headers but those that frame the body
 * @param close whether the connection takes no further request
 */
public record HttpAnswer(int status, Headers headers, ByteString body, boolean close) {

    public static HttpAnswer of(int status) {
        return new HttpAnswer(status, Headers.empty(), ByteString.EMPTY, false);
    }

    public static HttpAnswer of(int status, Headers headers, ByteString body) {
        return new HttpAnswer(status, headers, body, false);
    }

    /** The answer with one more header, in place of any of its name. */
    public HttpAnswer with(String name, String value) {
        return new HttpAnswer(status, headers.with(name, value), body, close);
    }

    public HttpAnswer closing() {
        return new HttpAnswer(status, headers, body, true);
    }
}
