package io.beryldock.http;

import io.beryldock.settings.SettingsException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.Optional;

/**
 * Authorizes requests to the operators' endpoint by the bearer token from the file set as {@code admin.tokenFile}.
 *
 * <p>Immutable, thread safe. Without a token file all requests are denied.
 */
public final class OperatorAccess {

    private static final String SCHEME = "Bearer ";
    private static final int MIN_TOKEN_LENGTH = 16;

    private final Optional<byte[]> token;

    private OperatorAccess(Optional<byte[]> token) {
        this.token = token;
    }

    /** Reads the token from the file, if one is set; fails if the file is unreadable or the token too short. */
    public static OperatorAccess of(Optional<String> tokenFile) throws SettingsException {
        if (tokenFile.isEmpty()) {
            return new OperatorAccess(Optional.empty());
        }
        try {
            String token = Files.readString(Path.of(tokenFile.get())).strip();
            if (token.length() < MIN_TOKEN_LENGTH) {
                throw new SettingsException(
                        "admin.tokenFile",
                        "a token of at least " + MIN_TOKEN_LENGTH + " characters",
                        "write a longer one");
            }
            return new OperatorAccess(Optional.of(token.getBytes(StandardCharsets.UTF_8)));
        } catch (IOException e) {
            throw new SettingsException("admin.tokenFile", "a readable file", "check the path " + tokenFile.get());
        }
    }

    /** Whether the value of the {@code Authorization} header contains the token; compares in constant time. */
    boolean allows(String authorization) {
        if (token.isEmpty() || authorization == null || !authorization.startsWith(SCHEME)) {
            return false;
        }
        byte[] presented = authorization.substring(SCHEME.length()).getBytes(StandardCharsets.UTF_8);
        return MessageDigest.isEqual(token.get(), presented);
    }
}
