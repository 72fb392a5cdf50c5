package io.beryldock.http;

import io.beryldock.call.Reason;

/** Thrown when a request is refused while it is read, before any part of it has run. */
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
