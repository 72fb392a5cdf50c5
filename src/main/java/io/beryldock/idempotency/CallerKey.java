package io.beryldock.idempotency;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * A caller's own key of a request, from its header Idempotency-Key.
 *
 * <p>Immutable. Keys are held by the first 128 bits of their SHA-256, so that no caller can make two keys meet.
 */
public record CallerKey(long high, long low) {

    /** Longest key taken, in characters. */
    public static final int MAX_LENGTH = 255;

    /** Reads the header's value; throws {@link IllegalArgumentException} when it can't be a key. */
    public static CallerKey of(String text) {
        if (text.isEmpty() || text.length() > MAX_LENGTH || !text.chars().allMatch(ch -> ch > ' ' && ch < 0x7f)) {
            throw new IllegalArgumentException("a key has 1 to " + MAX_LENGTH + " visible ASCII characters");
        }
        Bits128 bits = Bits128.of(Hashing.sha256().hashString(text, StandardCharsets.US_ASCII));
        return new CallerKey(bits.high(), bits.low());
    }
}
