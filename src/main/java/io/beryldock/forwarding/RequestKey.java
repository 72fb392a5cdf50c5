package io.beryldock.forwarding;

/** The key under which a non-idempotent request runs at most once. Immutable. */
public record RequestKey(Kind kind, String text) {

    /** The two kinds of keys. */
    public enum Kind {
        /** Issued by a node; the ticket's home node decides on its requests from memory. */
        TICKET,
        /** Chosen by the caller, bound to a ticket in the platform store. */
        CALLER_KEY
    }
}
