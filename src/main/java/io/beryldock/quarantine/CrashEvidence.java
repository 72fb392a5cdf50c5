package io.beryldock.quarantine;

/**
 * One request in flight at one crash, as this node knows it.
 *
 * <p>Immutable. {@link #merge} is commutative, associative and idempotent, so that nodes that heard the same news in
 * any order agree: what is said once stays said, and of two times the shorter holds, as it only grows on the way.
 *
 * @param ranAlone the run had been started as a suspect, so that this crash convicts the request
 * @param confirmed the crash is certain; false while a lost connection may be the network's fault
 * @param cleared a later run completed, or the crash turned out to be none; kept so that it outlives old news
 * @param expiresNanos when the entry is forgotten, by this node's ticker
 */
record CrashEvidence(boolean ranAlone, boolean confirmed, boolean cleared, long expiresNanos) {

    CrashEvidence merge(CrashEvidence other) {
        return new CrashEvidence(
                ranAlone || other.ranAlone,
                confirmed || other.confirmed,
                cleared || other.cleared,
                mergedExpiry(other));
    }

    /** A confirmed crash lasts longer than the lost connection that first told of it. */
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
