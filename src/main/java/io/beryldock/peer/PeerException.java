package io.beryldock.peer;

/** A request to another node got no reply. */
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

    /** How a request can fail. */
    public enum Kind {
        /** The request has not been taken: no byte of it left, or the other node says that it did not run it. */
        NOT_SENT,
        /** The connection was lost after the request may have been sent. */
        LOST,
        /** No reply in time; the connection stands. */
        TIMED_OUT
    }
}
