package io.beryldock.idempotency;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

/**
 * Who made a keyed request: a salted hash of its credential headers, equal at every node of a deployment.
 *
 * <p>Immutable. No credential can be read from it without the deployment's salt. An answer is replayed to the identity
 * only that the request was first made with.
 *
 * @param hash {@value #BYTES} bytes, or none for a caller without credentials
 */
public record CallerIdentity(ByteString hash) {

    /** Credential headers unless the settings name others. */
    public static final ImmutableList<String> DEFAULT_HEADERS =
            ImmutableList.of("Authorization", "Cookie", "X-Api-Key");

    static final int BYTES = 16;

    /** Stands for all callers that show no credentials. */
    public static final CallerIdentity ANONYMOUS = new CallerIdentity(ByteString.EMPTY);

    /** Hashes the credential headers of a request with the salt of the deployment. */
    public static CallerIdentity of(Headers headers, List<String> credentialHeaders, String salt) {
        HashFunction function = Hashing.hmacSha256(salt.getBytes(StandardCharsets.UTF_8));
        Hasher hasher = function.newHasher();
        boolean found = false;
        for (String name : credentialHeaders) {
            for (Headers.Header header : headers.list()) {
                if (header.name().equalsIgnoreCase(name)) {
                    putText(hasher, name.toLowerCase(Locale.ROOT));
                    putText(hasher, header.value());
                    found = true;
                }
            }
        }
        return found ? new CallerIdentity(ByteString.copyFrom(hasher.hash().asBytes(), 0, BYTES)) : ANONYMOUS;
    }

    /** Puts the length first, so that no two lists of texts give the same bytes. */
    private static void putText(Hasher hasher, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        hasher.putInt(bytes.length).putBytes(bytes);
    }
}
