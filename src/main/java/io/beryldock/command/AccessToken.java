package io.beryldock.command;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;

/**
 * The shared token that operators show.
 *
 * <p>Immutable. The comparison takes the same time however much of a wrong token is right, and the text form does not
 * tell the token.
 */
public final class AccessToken {

    /** Shorter tokens are too easily guessed. */
    public static final int MIN_LENGTH = 16;

    private static final String SCHEME = "Bearer ";

    private final byte[] bytes;

    private AccessToken(byte[] bytes) {
        this.bytes = bytes;
    }

    /** The token without the space around it; throws {@link IllegalArgumentException} when it is too short. */
    public static AccessToken of(String text) {
        String token = text.strip();
        if (token.length() < MIN_LENGTH) {
            throw new IllegalArgumentException("an operators' token has at least " + MIN_LENGTH
                    + " characters; make one with: openssl rand -hex 32");
        }
        return new AccessToken(token.getBytes(StandardCharsets.UTF_8));
    }

    /** Whether the value of an Authorization header is this token with the scheme Bearer. */
    public boolean matches(Optional<String> authorization) {
        String shown = authorization.orElse("");
        if (!shown.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return false;
        }
        byte[] token = shown.substring(SCHEME.length()).strip().getBytes(StandardCharsets.UTF_8);
        return MessageDigest.isEqual(bytes, token);
    }

    /** The value of the Authorization header that shows this token. */
    public String authorization() {
        return SCHEME + new String(bytes, StandardCharsets.UTF_8);
    }

    @Override
    public String toString() {
        return "AccessToken";
    }
}
