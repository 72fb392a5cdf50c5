package io.beryldock.idempotency;

import com.google.common.hash.Hashing;

/**
 * Identifies the caller and request that a key is bound to: 128 bits of a hash of identity and fingerprint. Immutable.
 */
public record KeyScope(long high, long low) {

    static KeyScope of(CallerIdentity identity, RequestFingerprint fingerprint) {
        Bits128 bits = Bits128.of(Hashing.sha256()
                .newHasher()
                .putBytes(identity.hash().toByteArray())
                .putBytes(fingerprint.hash().toByteArray())
                .hash());
        return new KeyScope(bits.high(), bits.low());
    }
}
