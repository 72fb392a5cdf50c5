package io.beryldock.http;

/** Thrown when the HTTP listeners can't be started; the message names the remedy. */
public final class ServerStartException extends Exception {

    private static final long serialVersionUID = 1L;

    ServerStartException(String node, Exception cause) {
        super(
                "the listeners of node " + node + " can't be started (" + cause.getMessage()
                        + "); free the port or change callers.port, loopback.port or admin.port",
                cause);
    }
}
