package io.beryldock.forwarding;

/** What makes a non-idempotent request run at most once. Immutable. */
public record RequestKey(Kind kind, String text) {

    /** The two kinds of keys. */
    public enum Kind {
        /** Minted by a node, decided by its home from memory. */
        TICKET,
        /** Chosen by the caller, bound to a ticket in the platform store. */
        CALLER_KEY
    }
}
