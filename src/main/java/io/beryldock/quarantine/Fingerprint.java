package io.beryldock.quarantine;

import com.google.common.hash.HashCode;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import io.beryldock.call.Call;
import java.nio.charset.StandardCharsets;

/**
 * What a request is, whoever sends it: 128 bits over service, method, path with query, and body.
 *
 * <p>Immutable. Equal at every node for equal requests. Headers don't count.
 */
public record Fingerprint(long high, long low) implements Comparable<Fingerprint> {

    private static final HashFunction FUNCTION = Hashing.murmur3_128(0x62647251);

    public static Fingerprint of(Call call) {
        HashCode hash = FUNCTION.newHasher()
                .putString(call.service().value(), StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(call.method(), StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(call.path(), StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putBytes(call.body().asReadOnlyByteBuffer())
                .hash();
        java.nio.ByteBuffer bytes = java.nio.ByteBuffer.wrap(hash.asBytes());
        return new Fingerprint(bytes.getLong(), bytes.getLong());
    }

    @Override
    public int compareTo(Fingerprint other) {
        int byHigh = Long.compareUnsigned(high, other.high);
        return byHigh != 0 ? byHigh : Long.compareUnsigned(low, other.low);
    }

    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
