package io.beryldock.http;

/** Names of the headers that the system adds or reads. */
public final class BeryldockHeaders {

    /** What became of the request: ANSWERED, NOT_RUN or UNKNOWN. */
    public static final String OUTCOME = "Beryldock-Outcome";

    /** Id of the root request, for {@code why}. */
    public static final String REQUEST = "Beryldock-Request";

    /** A ticket that the caller took for a non-idempotent request. */
    public static final String TICKET = "Beryldock-Ticket";

    /** The caller's own key for a non-idempotent request. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** A target's statement that it refused the request before running it: value {@link #NOT_RUN}. */
    public static final String REFUSED = "Beryldock-Refused";

    /** The one value of {@link #REFUSED}. */
    public static final String NOT_RUN = "not-run";

    private BeryldockHeaders() {}
}
