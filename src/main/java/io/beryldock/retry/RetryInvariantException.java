package io.beryldock.retry;

/** Thrown when a retry account doesn't balance, which is a bug in this program and never caused by a peer. */
public final class RetryInvariantException extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    RetryInvariantException(String message) {
        super(message);
    }
}
