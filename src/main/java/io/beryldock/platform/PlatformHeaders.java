package io.beryldock.platform;

import java.util.Optional;

/** Names of the platform's HTTP headers. Stateless, thread safe. */
final class PlatformHeaders {

    /** Id of one attempt of a client; the target returns it in its response. */
    static final String REQUEST_ID = "X-Beryldock-Request-Id";

    /** Remaining time of a request in milliseconds; a duration, not a point in time. */
    static final String REMAINING_MILLIS = "X-Beryldock-Deadline-Ms";

    /** The target's signature of its response; a success status without it does not count as a success. */
    static final String SIGNATURE = "X-Beryldock-Response-Signature";

    /** Id of the only start of the target that may run the request. */
    static final String EXPECTED_TARGET = "X-Beryldock-Expected-Instance";

    /** Id of the start that answers a question after its health. */
    static final String TARGET_ID = "X-Beryldock-Instance-Id";

    /** Marks a response with which the target refused the request without running it. */
    static final String NOT_EXECUTED = "X-Beryldock-Not-Executed";

    /** Requests per second that the target accepts from all VMs together; in all of its responses while it holds. */
    static final String RATE_LIMIT = "Server-Limit";

    /** {@code 1} in all responses of a target that is leaving. */
    static final String LEAVING = "Server-Leaving";

    /** Service of the VM in which the request originated. */
    static final String CALLER_SERVICE = "X-Beryldock-Caller-Service";

    /** API key of the organisation on whose behalf a client sends the request; never forwarded. */
    static final String CREDENTIAL = "X-Beryldock-Credential";

    /** Name of the organisation, set by the node for the target; a value sent by the client is discarded. */
    static final String ORGANISATION = "X-Beryldock-Tenant-Id";

    /** Number of the store's era, in all of its responses; increases when the store is restored from a backup. */
    static final String STORE_ERA = "Store-Era";

    static final String RETRY_AFTER = "Retry-After";
    static final String HOST = "Host";

    private static final char PARENT_SEPARATOR = '.';

    private PlatformHeaders() {}

    /**
     * The id of the parent request, during whose execution the target made this request, if the id contains it.
     *
     * <p>Targets usually prefix the ids of their inner calls with the id of their own request and a dot. No contract
     * guarantees this, so callers must use the result only if the target is running a request with that id.
     */
    static Optional<String> parentOf(String requestId) {
        int dot = requestId.lastIndexOf(PARENT_SEPARATOR);
        return dot <= 0 ? Optional.empty() : Optional.of(requestId.substring(0, dot));
    }
}
