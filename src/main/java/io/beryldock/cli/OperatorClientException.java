package io.beryldock.cli;

/** A node gave no usable response to a statement; the message names the remedy. */
final class OperatorClientException extends Exception {

    private static final long serialVersionUID = 1L;

    private final Kind kind;

    OperatorClientException(Kind kind, String message) {
        super(message);
        this.kind = kind;
    }

    OperatorClientException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    Kind kind() {
        return kind;
    }

    /** How a statement can fail before a node responds to it. */
    enum Kind {
        /** No connection: the statement has not reached the node. */
        NOT_REACHED,
        /** The connection was lost, or the node failed before it responded: it may have carried the statement out. */
        NO_RESPONSE,
        /** The node did not accept the access token. */
        NO_ACCESS,
        /** What answered is no operators' listener of a node. */
        NOT_A_NODE
    }
}
