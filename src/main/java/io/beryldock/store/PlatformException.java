package io.beryldock.store;

/** Thrown when the platform store gives no usable answer; the message names the remedy. */
public final class PlatformException extends Exception {

    private static final long serialVersionUID = 1L;

    public PlatformException(String message) {
        super(message);
    }

    public PlatformException(String message, Throwable cause) {
        super(message, cause);
    }
}
