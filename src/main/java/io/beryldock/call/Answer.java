package io.beryldock.call;

import com.google.protobuf.ByteString;
import java.util.Objects;

/** A complete HTTP answer of a target. Immutable. */
public record Answer(int status, Headers headers, ByteString body) {

    private static final int FIRST_SERVER_ERROR = 500;

    public Answer {
        Objects.requireNonNull(headers, "headers");
        Objects.requireNonNull(body, "body");
    }

    /** Whether the status reports a failure of the target (500 or above). */
    public boolean isServerError() {
        return status >= FIRST_SERVER_ERROR;
    }
}
