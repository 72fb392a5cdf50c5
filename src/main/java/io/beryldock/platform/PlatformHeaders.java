package io.beryldock.platform;

import io.beryldock.call.Headers;
import java.util.Optional;

/** Names of the platform's headers. */
final class PlatformHeaders {

    /** Id of one attempt of a client; the target echoes it. */
    static final String REQUEST_ID = "X-Beryldock-Request-Id";

    /** Time left for a request, in milliseconds; a duration, not a point in time. */
    static final String TIME_LEFT_MILLIS = "X-Beryldock-Deadline-Ms";

    /** The target's signature of its answer, without which a success is none. */
    static final String SIGNATURE = "X-Beryldock-Response-Signature";

    /** Id of the target's start that alone may run the request. */
    static final String EXPECTED_TARGET = "X-Beryldock-Expected-Instance";

    /** Marks a refusal: the target did not run the request. */
    static final String NOT_EXECUTED = "X-Beryldock-Not-Executed";

    /** Service of the VM where the request began. */
    static final String CALLER_SERVICE = "X-Beryldock-Caller-Service";

    /** Key of the organisation for which a client asks; never passed on. */
    static final String CREDENTIAL = "X-Beryldock-Credential";

    /** Name of the organisation, told to the target whatever the client sent under this name. */
    static final String ORGANISATION = "X-Beryldock-Tenant-Id";

    /** Number of the store's era, in all of its answers; it rises when the store comes back from an older copy. */
    static final String STORE_ERA = "Store-Era";

    static final String RETRY_AFTER = "Retry-After";
    static final String HOST = "Host";

    private static final char PARENT_SEPARATOR = '.';

    private PlatformHeaders() {}

    /**
     * The id of the request within whose run this one was made, as far as the id can tell.
     *
     * <p>Targets are seen to put their own request's id and a dot before the ids of their calls; nothing promises it,
     * so it counts only when the target runs a request of that id.
     */
    static Optional<String> parentOf(String requestId) {
        int dot = requestId.lastIndexOf(PARENT_SEPARATOR);
        return dot <= 0 ? Optional.empty() : Optional.of(requestId.substring(0, dot));
    }

    /** Whether a response carries the id of the request. */
    static boolean answers(String requestId, Headers response) {
        return response.first(REQUEST_ID).filter(requestId::equals).isPresent();
    }
}
