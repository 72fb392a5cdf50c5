package io.beryldock.waiting;

/**
 * Decision of an entry node on a caller's request. Immutable.
 *
 * @param retryAfterMillis delay after which a refused caller may retry
 */
public record EntryDecision(Kind kind, long retryAfterMillis) {

    private static final EntryDecision COVERED = new EntryDecision(Kind.COVERED, 0);
    private static final EntryDecision NOT_GOVERNED = new EntryDecision(Kind.NOT_GOVERNED, 0);
    private static final EntryDecision GONE = new EntryDecision(Kind.GONE, 0);

    /** Outcome of the decision. */
    public enum Kind {
        /** The request starts, and credits cover its whole call tree. */
        COVERED,
        /** Credits are not needed or not known; the levels that services report decide. */
        NOT_GOVERNED,
        /** The request does not start. */
        REFUSED,
        /** The caller left while the request waited. */
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
