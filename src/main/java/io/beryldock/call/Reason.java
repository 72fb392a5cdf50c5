package io.beryldock.call;

/**
 * Reason why a request has no answer, with the HTTP status, message and remedy returned to the caller.
 *
 * <p>The user messages of all refusals are defined here.
 */
public enum Reason {
    SHED_AT_DOOR(503, "the service or one beneath it is overloaded", "come back after Retry-After"),
    NO_ROOM_BENEATH(503, "a service beneath has no room for all that the request needs", "come back after Retry-After"),
    SHED_AT_TARGET(503, "the target's queue is full of more important work", "come back after Retry-After"),
    QUEUED_TOO_LONG(503, "the request waited too long in the target's queue", "come back after Retry-After"),
    RATE_LIMITED(503, "the target takes no more requests per second now", "come back after Retry-After"),
    REPEATS_LIMITED(503, "too many repeats of calls to the service", "come back after Retry-After"),
    DEADLINE_PASSED(504, "the time allowed for the request was over before it ran", "allow more time"),
    NO_TARGET(503, "no live target announces the service", "start a target or wait until one has announced itself"),
    NO_ROUTE(404, "no route matches the path", "add a route: set route PREFIX service NAME"),
    UNKNOWN_KEY(401, "the route needs the key of an organisation", "send one key that the operators have given out"),
    KEYS_UNCERTAIN(503, "this node can't tell now whether keys still hold", "come back after Retry-After"),
    OVER_QUOTA(429, "the organisation has used up its quota", "come back after Retry-After, or ask for a higher quota"),
    DRAINING(503, "the target is leaving and takes no new work", "send the request again; another target takes it"),
    QUARANTINED(503, "requests like this one crashed targets", "see show quarantine; change the request"),
    BODY_TOO_LARGE(413, "the body is larger than the node accepts", "send less or raise callers.maxBodyBytes"),
    TOO_MANY_HEADERS(431, "the headers are larger than the node accepts", "send fewer or shorter headers"),
    TARGET_REFUSED(503, "the target refused the request before running it", "come back after Retry-After"),
    CONNECT_FAILED(503, "no connection to the target could be made", "send the request again"),
    CONNECTION_LOST(502, "the connection was lost while the request was under way", "ask whether it took effect"),
    TARGET_CRASHED(502, "the target crashed while the request was under way", "ask whether it took effect"),
    TIMED_OUT(504, "no answer came in the time allowed", "ask whether it took effect"),
    CANCELLED(499, "the caller went away", "none is needed"),
    KEY_IN_USE(422, "the key belongs to another caller or another request", "use a new key for a new request"),
    KEY_STORE_DOWN(503, "the platform store can't bind the key now", "use a ticket: POST /beryldock/tickets"),
    KEY_CLOSED(
            409, "the key was refused before and is closed, so it will never run", "send it under a new key or ticket"),
    KEY_EXPIRED(410, "the key or ticket is older than the retention time", "take a new ticket for a new request"),
    TICKETS_FULL(503, "the node holds as many tickets as it may", "come back after Retry-After"),
    HOME_GONE(502, "the node that decides over the ticket is gone", "ask the service whether the request took effect"),
    UNSAFE_UNDER_RETRY(
            409,
            "a non-idempotent inner call without a key stands beneath a request that may be retried",
            "mark the outer route non-idempotent or send an Idempotency-Key with the inner call"),
    BAD_REQUEST(400, "the request's Beryldock headers are malformed", "see docs/OPERATING.md, section Headers"),
    INTERNAL(500, "the node failed to handle the request", "report the log line that names the request id");

    private final int status;
    private final String message;
    private final String remedy;

    Reason(int status, String message, String remedy) {
        this.status = status;
        this.message = message;
        this.remedy = remedy;
    }

    /** HTTP status returned to the caller. */
    public int status() {
        return status;
    }

    public String message() {
        return message;
    }

    public String remedy() {
        return remedy;
    }
}
