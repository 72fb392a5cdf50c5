package io.beryldock.quarantine;

/**
 * The evidence that this node has against one request that was in flight at one crash.
 *
 * <p>Immutable. {@link #merge} is commutative, associative and idempotent, so that nodes that received the same deltas
 * in any order agree: a flag once set stays set, and of two expiry times the earlier holds, because transit delay only
 * makes an expiry time later.
 *
 * @param ranAlone the run had been started as a suspect's, so this crash convicts the request
 * @param confirmed the crash is certain; false while a lost connection may be a fault of the network
 * @param cleared a later run completed, or there was no crash; such an entry is kept to override older deltas
 * @param expiresNanos when the entry expires, by this node's ticker
 */
record CrashEvidence(boolean ranAlone, boolean confirmed, boolean cleared, long expiresNanos) {

    CrashEvidence merge(CrashEvidence other) {
        return new CrashEvidence(
                ranAlone || other.ranAlone,
                confirmed || other.confirmed,
                cleared || other.cleared,
                mergedExpiry(other));
    }

    /** A confirmed crash lasts longer than the lost connection by which the crash was first suspected. */
    private long mergedExpiry(CrashEvidence other) {
        if (confirmed != other.confirmed) {
            return confirmed ? expiresNanos : other.expiresNanos;
        }
        return Math.min(expiresNanos, other.expiresNanos);
    }

    CrashEvidence clear() {
        return new CrashEvidence(ranAlone, confirmed, true, expiresNanos);
    }

    boolean isLive(long now) {
        return !cleared && now < expiresNanos;
    }
}
