package io.beryldock.idempotency;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import io.beryldock.call.Call;
import java.nio.charset.StandardCharsets;

/** Hash of the content of a keyed request: service, method, path with query, and body. Immutable. */
public record RequestFingerprint(ByteString hash) {

    static final int BYTES = 16;

    public static RequestFingerprint of(Call call) {
        Hasher hasher = Hashing.sha256().newHasher();
        putBytes(hasher, call.service().value().getBytes(StandardCharsets.UTF_8));
        putBytes(hasher, call.method().getBytes(StandardCharsets.UTF_8));
        putBytes(hasher, call.path().getBytes(StandardCharsets.UTF_8));
        putBytes(hasher, call.body().toByteArray());
        return new RequestFingerprint(ByteString.copyFrom(hasher.hash().asBytes(), 0, BYTES));
    }

    private static void putBytes(Hasher hasher, byte[] bytes) {
        hasher.putInt(bytes.length).putBytes(bytes);
    }
}
