package io.beryldock.idempotency;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.Objects;

/**
 * Who made a keyed request: a hash equal at every node of a deployment.
 *
 * <p>Immutable. An answer is replayed only to the identity that the request was first made with.
 */
public record CallerIdentity(ByteString hash) {

    static final int BYTES = 16;

    public CallerIdentity {
        Objects.requireNonNull(hash, "hash");
    }

    /** Shortens a salted hash of the credential headers, as the listeners make it, to what tickets keep. */
    public static CallerIdentity of(String credentialHash) {
        byte[] bytes = Hashing.sha256()
                .hashString(credentialHash, StandardCharsets.UTF_8)
                .asBytes();
        return new CallerIdentity(ByteString.copyFrom(bytes, 0, BYTES));
    }
}
