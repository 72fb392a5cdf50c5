package io.beryldock.quarantine;

import java.time.Duration;

/**
 * A request that does not run freely, for operators. Immutable.
 *
 * @param crashes crashes that it was in flight at
 * @param remaining time until it is forgotten
 */
public record QuarantinedRequest(Fingerprint fingerprint, Verdict verdict, int crashes, Duration remaining) {}
