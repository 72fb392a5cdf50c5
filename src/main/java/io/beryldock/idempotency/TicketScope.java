package io.beryldock.idempotency;

import java.util.Objects;

/**
 * Caller and request that a ticket is bound to; set when the ticket is first presented and never changed. Immutable.
 */
record TicketScope(CallerIdentity identity, RequestFingerprint fingerprint) {

    TicketScope {
        Objects.requireNonNull(identity, "identity");
        Objects.requireNonNull(fingerprint, "fingerprint");
    }
}
