package io.beryldock.call;

import com.google.protobuf.ByteString;
import java.util.Objects;

/** A target's complete answer. Immutable. */
public record Answer(int status, Headers headers, ByteString body) {

    private static final int FIRST_SERVER_ERROR = 500;

    public Answer {
        Objects.requireNonNull(headers, "headers");
        Objects.requireNonNull(body, "body");
    }

    /** Whether the target tells of its own failure, of whatever kind. */
    public boolean isServerError() {
        return status >= FIRST_SERVER_ERROR;
    }
}
