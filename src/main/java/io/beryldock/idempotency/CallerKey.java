package io.beryldock.idempotency;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * A key chosen by the caller for a request, from the header Idempotency-Key.
 *
 * <p>Immutable. Keys are stored as the first 128 bits of their SHA-256, so that a caller cannot construct a collision.
 */
public record CallerKey(long high, long low) {

    /** Maximum length of a key, in characters. */
    public static final int MAX_LENGTH = 255;

    /** Parses the header's value; throws {@link IllegalArgumentException} if it is not a valid key. */
    public static CallerKey of(String text) {
        if (text.isEmpty() || text.length() > MAX_LENGTH || !text.chars().allMatch(ch -> ch > ' ' && ch < 0x7f)) {
            throw new IllegalArgumentException("a key has 1 to " + MAX_LENGTH + " visible ASCII characters");
        }
        Bits128 bits = Bits128.of(Hashing.sha256().hashString(text, StandardCharsets.US_ASCII));
        return new CallerKey(bits.high(), bits.low());
    }
}
