package io.beryldock.waiting;

/**
 * What an entry decides over a caller's request. Immutable.
 *
 * @param retryAfterMillis when a refused caller may come back
 */
public record EntryDecision(Kind kind, long retryAfterMillis) {

    private static final EntryDecision COVERED = new EntryDecision(Kind.COVERED, 0);
    private static final EntryDecision NOT_GOVERNED = new EntryDecision(Kind.NOT_GOVERNED, 0);
    private static final EntryDecision GONE = new EntryDecision(Kind.GONE, 0);

    /** What becomes of the request. */
    public enum Kind {
        /** It starts, and credits cover its whole tree. */
        COVERED,
        /** No credits are needed or known: the levels of services decide. */
        NOT_GOVERNED,
        /** It does not start. */
        REFUSED,
        /** Its caller left while it waited. */
        GONE
    }

    public static EntryDecision covered() {
        return COVERED;
    }

    public static EntryDecision notGoverned() {
        return NOT_GOVERNED;
    }

    public static EntryDecision gone() {
        return GONE;
    }

    public static EntryDecision refused(long retryAfterMillis) {
        return new EntryDecision(Kind.REFUSED, retryAfterMillis);
    }
}
