package io.beryldock.peer;

/** Thrown when the peer transport can't start; the message names the settings key and the remedy. */
public final class PeerStartException extends Exception {

    private static final long serialVersionUID = 1L;

    public PeerStartException(String message, Throwable cause) {
        super(message, cause);
    }

    public PeerStartException(String message) {
        super(message);
    }
}
