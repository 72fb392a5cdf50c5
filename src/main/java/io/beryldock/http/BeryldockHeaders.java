package io.beryldock.http;

/** Names of the HTTP headers that the system sets or reads. */
public final class BeryldockHeaders {

    /** Outcome of the request: ANSWERED, NOT_RUN or UNKNOWN. */
    public static final String OUTCOME = "Beryldock-Outcome";

    /** Id of the root request, as the operators' command {@code why} takes it. */
    public static final String REQUEST = "Beryldock-Request";

    /** Ticket that the caller obtained for a non-idempotent request. */
    public static final String TICKET = "Beryldock-Ticket";

    /** Idempotency key that the caller chose for a non-idempotent request. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Set by a target to {@link #NOT_RUN} if it refused the request without running it. */
    public static final String REFUSED = "Beryldock-Refused";

    /** The only value of {@link #REFUSED}. */
    public static final String NOT_RUN = "not-run";

    /** Requests per second that a target accepts from all nodes together; in all of its answers while it holds. */
    public static final String RATE_LIMIT = "Beryldock-Rate-Limit";

    /** Set to {@code 1} by a leaving target in all of its answers. */
    public static final String LEAVING = "Beryldock-Leaving";

    private BeryldockHeaders() {}
}
