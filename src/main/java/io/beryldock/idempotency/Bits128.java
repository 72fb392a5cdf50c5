package io.beryldock.idempotency;

import com.google.common.hash.HashCode;
import com.google.common.primitives.Longs;
import java.util.Arrays;

/** The first 128 bits of a longer hash. Immutable. */
record Bits128(long high, long low) {

    static Bits128 of(HashCode hash) {
        byte[] bytes = hash.asBytes();
        byte[] second = Arrays.copyOfRange(bytes, Long.BYTES, 2 * Long.BYTES);
        return new Bits128(Longs.fromByteArray(bytes), Longs.fromByteArray(second));
    }
}
