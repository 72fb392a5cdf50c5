package io.beryldock.idempotency;

import java.util.Objects;

/** Whose request a ticket stands for: fixed by the first presentation, for ever. Immutable. */
record TicketScope(CallerIdentity identity, RequestFingerprint fingerprint) {

    TicketScope {
        Objects.requireNonNull(identity, "identity");
        Objects.requireNonNull(fingerprint, "fingerprint");
    }
}
