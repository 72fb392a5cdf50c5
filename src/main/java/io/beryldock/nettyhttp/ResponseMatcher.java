package io.beryldock.nettyhttp;

import io.beryldock.call.Headers;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Tells which responses on a connection belong to the call under way, at a server that may send a response twice: the
 * second copy comes where the next response is expected.
 *
 * <p>Invariants: a call that failed is not sent again on the same connection, because a copy of its first response has
 * the id of the second call too; a response without an id is accepted only if no response came before it. Confined to
 * the event loop of the connection.
 */
final class ResponseMatcher {

    /** Bounds the memory of a connection; a new connection after so many failed calls costs little. */
    static final int MAX_FAILED_IDS = 32;

    private static final int FIRST_FAILURE = 400;

    private final Set<String> failedIds = new HashSet<>();
    private boolean anyResponse;
    private boolean unidentified;

    /** What a response is to the call under way. */
    enum Match {
        OWN,
        FOREIGN,

        /** The response names no call and may be a copy of an earlier one. */
        AMBIGUOUS
    }

    /** Whether a response to the call could be told apart from those of earlier calls on the connection. */
    boolean canSend(HttpCall call) {
        if (call.id().isEmpty()) {
            return true;
        }
        Optional<String> id = call.id().get().value();
        return id.isPresent() ? !failedIds.contains(id.get()) : !anyResponse;
    }

    /** Classifies the head of a final response. */
    Match match(HttpCall call, Headers response) {
        boolean first = !anyResponse;
        anyResponse = true;
        if (call.id().isEmpty()) {
            return Match.OWN;
        }
        EchoedId id = call.id().get();
        if (id.isNamedBy(response)) {
            return id.matches(response) ? Match.OWN : Match.FOREIGN;
        }
        unidentified = true;
        return first ? Match.OWN : Match.AMBIGUOUS;
    }

    /** Records the end of a call, which may be sent again if its response was a failure. */
    void onEnd(HttpCall call, int status) {
        if (status >= FIRST_FAILURE) {
            call.id().flatMap(EchoedId::value).ifPresent(failedIds::add);
        }
    }

    /** Whether the connection may be used for further calls. */
    boolean isReusable() {
        return !unidentified && failedIds.size() < MAX_FAILED_IDS;
    }
}
