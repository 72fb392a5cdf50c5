package io.beryldock.nettyhttp;

import java.util.concurrent.CompletionException;

/** An exchange ended without a complete response; the kind tells whether the request can have reached the server. */
public final class HttpExchangeException extends Exception {

    private static final long serialVersionUID = 1L;

    private final Kind kind;

    HttpExchangeException(Kind kind, String message) {
        super(message);
        this.kind = kind;
    }

    /** Whether the request left this process. */
    public enum Kind {
        /** No connection was made: not one byte left. */
        NOT_SENT,
        /** The request may have reached the server. */
        LOST
    }

    /** Whether this failure of a call's future says that not one byte of the request left. */
    public static boolean isNotSent(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof HttpExchangeException exchange && exchange.kind == Kind.NOT_SENT;
    }

    public Kind kind() {
        return kind;
    }
}
