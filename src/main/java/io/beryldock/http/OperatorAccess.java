package io.beryldock.http;

import io.beryldock.settings.SettingsException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.Optional;

/**
 * Who may use the operators' endpoint: whoever shows the token of the file that the settings name.
 *
 * <p>Immutable, thread safe. Without a token file nobody may.
 */
public final class OperatorAccess {

    private static final String SCHEME = "Bearer ";
    private static final int SHORTEST_TOKEN = 16;

    private final Optional<byte[]> token;

    private OperatorAccess(Optional<byte[]> token) {
        this.token = token;
    }

    /** Reads the token file. */
    public static OperatorAccess of(Optional<String> tokenFile) throws SettingsException {
        if (tokenFile.isEmpty()) {
            return new OperatorAccess(Optional.empty());
        }
        try {
            String token = Files.readString(Path.of(tokenFile.get())).strip();
            if (token.length() < SHORTEST_TOKEN) {
                throw new SettingsException(
                        "admin.tokenFile",
                        "a token of at least " + SHORTEST_TOKEN + " characters",
                        "write a longer one");
            }
            return new OperatorAccess(Optional.of(token.getBytes(StandardCharsets.UTF_8)));
        } catch (IOException e) {
            throw new SettingsException("admin.tokenFile", "a readable file", "check the path " + tokenFile.get());
        }
    }

    /** Whether the header {@code Authorization} holds the token; compared in constant time. */
    boolean allows(String authorization) {
        if (token.isEmpty() || authorization == null || !authorization.startsWith(SCHEME)) {
            return false;
        }
        byte[] shown = authorization.substring(SCHEME.length()).getBytes(StandardCharsets.UTF_8);
        return MessageDigest.isEqual(token.get(), shown);
    }
}
