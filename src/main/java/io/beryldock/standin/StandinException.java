package io.beryldock.standin;

/** A stand-in can't be started or told what to do; the message names the remedy. */
public final class StandinException extends Exception {

    private static final long serialVersionUID = 1L;

    public StandinException(String message) {
        super(message);
    }

    public StandinException(String message, Throwable cause) {
        super(message, cause);
    }
}
