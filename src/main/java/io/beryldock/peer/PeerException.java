package io.beryldock.peer;

/** Thrown when a request to another node gets no reply. */
public final class PeerException extends Exception {

    private static final long serialVersionUID = 1L;

    private final Kind kind;

    public PeerException(Kind kind, String message) {
        super(message);
        this.kind = kind;
    }

    public Kind kind() {
        return kind;
    }

    /** The ways in which a request can fail. */
    public enum Kind {
        /** The request did not run: it was never written, or the other node reported that it did not run it. */
        NOT_SENT,
        /** The connection was lost after the request may have been sent. */
        LOST,
        /** No reply was received before the deadline; the connection is still open. */
        TIMED_OUT
    }
}
