package io.beryldock.idempotency;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.Objects;

/**
 * Identity of the caller of a keyed request: a hash that is equal at every node of a deployment.
 *
 * <p>Immutable. An answer is replayed only to the identity that first submitted the request.
 */
public record CallerIdentity(ByteString hash) {

    static final int BYTES = 16;

    public CallerIdentity {
        Objects.requireNonNull(hash, "hash");
    }

    /**
     * Truncates a salted hash of the credential headers, as computed by the listeners, to the length stored with
     * tickets.
     */
    public static CallerIdentity of(String credentialHash) {
        byte[] bytes = Hashing.sha256()
                .hashString(credentialHash, StandardCharsets.UTF_8)
                .asBytes();
        return new CallerIdentity(ByteString.copyFrom(bytes, 0, BYTES));
    }
}
