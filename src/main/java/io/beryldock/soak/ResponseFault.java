package io.beryldock.soak;

/** A kind of fault in the responses that targets write. */
public enum ResponseFault {
    /** A response is sent again, often where the next one on the connection is expected. */
    REPEATED,
    /** A response is cut off, never sent, not HTTP, or lacks the headers that a caller needs. */
    BROKEN,
    /** Bytes without end take the place of a response or follow it, until the caller closes the connection. */
    ENDLESS
}
