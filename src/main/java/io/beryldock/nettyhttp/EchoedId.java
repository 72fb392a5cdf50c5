package io.beryldock.nettyhttp;

import io.beryldock.call.Headers;
import java.util.Optional;

/**
 * The id of a call in a header that the server echoes in its response. Immutable.
 *
 * @param header name of the header
 * @param value id of the call; empty if the call has none
 */
public record EchoedId(String header, Optional<String> value) {

    /** Returns the id that the headers of the call contain under the name. */
    public static EchoedId of(String header, Headers call) {
        return new EchoedId(header, call.first(header));
    }

    /** Whether the response names a call, be it this one or another. */
    boolean isNamedBy(Headers response) {
        return response.first(header).isPresent();
    }

    /** Whether the response has the same id as the call, or neither has one. */
    boolean matches(Headers response) {
        return response.first(header).equals(value);
    }
}
