package io.beryldock.quarantine;

import com.google.common.hash.HashCode;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import com.google.common.primitives.Longs;
import io.beryldock.call.Call;
import io.beryldock.call.ServiceName;
import java.nio.charset.StandardCharsets;

/**
 * The identity of a request, whoever sends it: a 128-bit hash over service, method, path with query, and body.
 *
 * <p>Equal at every node for equal requests; headers are not part of it. The hash is computed when it is first needed,
 * which for almost all requests is never, so creating a fingerprint is cheap. Observably immutable, thread safe.
 */
public final class Fingerprint {

    static final int MAX_LABEL = 100;

    private static final HashFunction FUNCTION = Hashing.murmur3_128(0x62647251);
    private static final byte SEPARATOR = 0;

    private final ServiceName service;
    private final String label;
    private final Call call;
    private volatile HashCode hash;

    private Fingerprint(ServiceName service, String label, Call call, HashCode hash) {
        this.service = service;
        this.label = label;
        this.call = call;
        this.hash = hash;
    }

    public static Fingerprint of(Call call) {
        return new Fingerprint(call.service(), null, call, null);
    }

    /** Creates the fingerprint of a request that another node reported. */
    static Fingerprint of(long high, long low, ServiceName service, String label) {
        byte[] bytes = new byte[2 * Long.BYTES];
        System.arraycopy(Longs.toByteArray(high), 0, bytes, 0, Long.BYTES);
        System.arraycopy(Longs.toByteArray(low), 0, bytes, Long.BYTES, Long.BYTES);
        return new Fingerprint(service, label, null, HashCode.fromBytes(bytes));
    }

    /** Returns the same fingerprint without a reference to its request, for long retention. */
    Fingerprint detached() {
        return call == null ? this : new Fingerprint(service, label(), null, hash());
    }

    public ServiceName service() {
        return service;
    }

    /** A short form of the request for operators: method and path, truncated to {@value #MAX_LABEL} characters. */
    public String label() {
        if (label != null) {
            return label;
        }
        String text = call.method() + " " + call.path();
        return text.length() <= MAX_LABEL ? text : text.substring(0, MAX_LABEL);
    }

    long high() {
        return Longs.fromByteArray(hash().asBytes());
    }

    long low() {
        byte[] bytes = hash().asBytes();
        return Longs.fromBytes(bytes[8], bytes[9], bytes[10], bytes[11], bytes[12], bytes[13], bytes[14], bytes[15]);
    }

    private HashCode hash() {
        HashCode known = hash;
        if (known == null) {
            known = compute(call);
            hash = known;
        }
        return known;
    }

    private static HashCode compute(Call call) {
        return FUNCTION.newHasher()
                .putString(call.service().value(), StandardCharsets.UTF_8)
                .putByte(SEPARATOR)
                .putString(call.method(), StandardCharsets.UTF_8)
                .putByte(SEPARATOR)
                .putString(call.path(), StandardCharsets.UTF_8)
                .putByte(SEPARATOR)
                .putBytes(call.body().asReadOnlyByteBuffer())
                .hash();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Fingerprint that && hash().equals(that.hash());
    }

    @Override
    public int hashCode() {
        return hash().hashCode();
    }

    /** Returns 32 hexadecimal digits, the form that operators enter. */
    @Override
    public String toString() {
        return hash().toString();
    }
}
