package io.beryldock.waiting;

/** Reason for which an entry node refused a request before it started. */
public enum RefusalCause {
    /** On arrival, capacity for the request is expected only when it is too late. */
    NO_ROOM_IN_TIME("no room is expected in time for it"),
    /** The request waited for its maximum time without receiving credits. */
    WAITED_IN_VAIN("no room came in time for it"),
    /** The request was retried before the time that its caller was told. */
    TOO_EARLY("it came back before the time that it was told"),
    /**
     * More important or earlier requests fill the queue of the entry node, or the request alone exceeds the queue's
     * bound in bytes.
     */
    OVERFLOW("more important or earlier requests fill the entry"),
    /** The node stops. */
    STOPPING("the node stops");

    private final String message;

    RefusalCause(String message) {
        this.message = message;
    }

    /** Returns a description for operators. */
    public String message() {
        return message;
    }
}
