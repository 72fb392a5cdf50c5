package io.beryldock.retry;

/** A retry account doesn't add up: a fault of this program, never of a peer. */
public final class RetryInvariantException extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    RetryInvariantException(String message) {
        super(message);
    }
}
