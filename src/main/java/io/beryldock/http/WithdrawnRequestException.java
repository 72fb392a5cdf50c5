package io.beryldock.http;

import org.apache.hc.core5.http.HttpException;

/** A request was withdrawn before its first byte was written. */
final class WithdrawnRequestException extends HttpException {

    private static final long serialVersionUID = 1L;

    WithdrawnRequestException() {
        super("the request was withdrawn before it was sent");
    }
}
