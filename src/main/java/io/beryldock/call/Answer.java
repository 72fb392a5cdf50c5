package io.beryldock.call;

import com.google.protobuf.ByteString;
import java.util.Objects;

/** A target's complete answer. Immutable. */
public record Answer(int status, Headers headers, ByteString body) {

    public Answer {
        Objects.requireNonNull(headers, "headers");
        Objects.requireNonNull(body, "body");
    }
}
