package io.beryldock.http;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.beryldock.call.Headers;
import java.nio.charset.StandardCharsets;

/**
 * Identifies a caller by a hash of its credential headers, or of its address if it sends no credentials.
 *
 * <p>Stateless. All nodes compute the same hash, and credentials are stored in no other form.
 */
final class CallerIdentifier {

    private static final ImmutableList<String> CREDENTIALS = ImmutableList.of("Authorization", "Cookie");
    private static final String SALT = "beryldock caller identity 1";

    String identify(Headers headers, String remoteAddress) {
        Hasher hasher = Hashing.sha256().newHasher().putString(SALT, StandardCharsets.UTF_8);
        boolean found = false;
        for (String name : CREDENTIALS) {
            String value = headers.first(name).orElse("");
            found |= !value.isEmpty();
            hasher.putInt(value.length()).putString(value, StandardCharsets.UTF_8);
        }
        if (!found) {
            hasher.putString(remoteAddress, StandardCharsets.UTF_8);
        }
        return hasher.hash().toString();
    }
}
