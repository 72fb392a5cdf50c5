package io.beryldock.http;

import io.beryldock.call.Reason;

/** A request that is refused before anything ran. */
final class RequestException extends Exception {

    private static final long serialVersionUID = 1L;

    private final Reason reason;

    RequestException(Reason reason, String detail) {
        super(detail);
        this.reason = reason;
    }

    Reason reason() {
        return reason;
    }
}
