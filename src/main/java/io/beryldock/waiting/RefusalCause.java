package io.beryldock.waiting;

/** Why an entry refused a request before it started. */
public enum RefusalCause {
    /** At its arrival room for it is expected only when it is too late. */
    NO_ROOM_IN_TIME("no room is expected in time for it"),
    /** It waited as long as it could. */
    WAITED_IN_VAIN("no room came in time for it"),
    /** It came back before the time that it was told. */
    TOO_EARLY("it came back before the time that it was told"),
    /** More important or earlier ones fill the bounds of the entry. */
    OVERFLOW("more important or earlier requests fill the entry"),
    /** The node stops. */
    STOPPING("the node stops");

    private final String message;

    RefusalCause(String message) {
        this.message = message;
    }

    /** A sentence for operators. */
    public String message() {
        return message;
    }
}
