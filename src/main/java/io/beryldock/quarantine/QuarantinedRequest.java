package io.beryldock.quarantine;

import java.time.Duration;

/**
 * A request that does not run freely, for operators. Immutable.
 *
 * @param crashes number of crashes at which the request was in flight
 * @param remaining time until the last of its entries expires
 */
public record QuarantinedRequest(Fingerprint fingerprint, Verdict verdict, int crashes, Duration remaining) {}
