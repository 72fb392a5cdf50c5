package io.beryldock.cli;

import com.google.common.net.HostAndPort;
import io.beryldock.command.AccessToken;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/** Reads the options that both operators' subcommands have. Stateless, thread safe. */
final class OperatorOptions {

    /** Exit code when it is not known whether a change was made. */
    static final int OUTCOME_UNKNOWN = 3;

    /** Exit code when the node can't be reached, or when some nodes did not answer. */
    static final int NOT_REACHED = 4;

    private static final String DEFAULT_OPERATOR = "unknown";

    private OperatorOptions() {}

    /** Opens a client; the exception's message names the option and the remedy. */
    static OperatorClient open(String node, String tokenFile) throws OptionException {
        return OperatorClient.create(address(node), token(tokenFile), operator());
    }

    private static HostAndPort address(String node) throws OptionException {
        try {
            HostAndPort address = HostAndPort.fromString(node);
            if (address.hasPort() && !address.getHost().isEmpty()) {
                return address;
            }
        } catch (IllegalArgumentException e) {
            throw new OptionException("--node: '" + node + "' is no IP:PORT; for example 10.0.0.1:8081", e);
        }
        throw new OptionException("--node: '" + node + "' is no IP:PORT; for example 10.0.0.1:8081");
    }

    private static Optional<AccessToken> token(String file) throws OptionException {
        if (file == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(AccessToken.of(Files.readString(Path.of(file))));
        } catch (IOException e) {
            throw new OptionException("--token-file: '" + file + "' can't be read; check its path and rights", e);
        } catch (IllegalArgumentException e) {
            throw new OptionException("--token-file: " + e.getMessage(), e);
        }
    }

    private static String operator() {
        String name = System.getProperty("user.name", "").replaceAll("[^\\p{Alnum}._@-]", "");
        return name.isEmpty() ? DEFAULT_OPERATOR : name;
    }

    /** Exit code of a statement that got no response; a change that got none may have been made. */
    static int exitCode(OperatorClientException error, boolean mayChange) {
        return switch (error.kind()) {
            case NOT_REACHED -> NOT_REACHED;
            case NO_RESPONSE -> mayChange ? OUTCOME_UNKNOWN : NOT_REACHED;
            case NO_ACCESS, NOT_A_NODE -> Subcommand.FAILED;
        };
    }

    /** An option is wrong; the message names it and the remedy. */
    static final class OptionException extends Exception {

        private static final long serialVersionUID = 1L;

        OptionException(String message) {
            super(message);
        }

        OptionException(String message, Throwable cause) {
            super(message, cause);
        }
    }
}
