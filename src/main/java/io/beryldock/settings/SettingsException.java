package io.beryldock.settings;

/** Thrown if a setting is missing, unknown or invalid; the message is one line that names the key and the remedy. */
public final class SettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    private final String key;

    public SettingsException(String key, String expected, String remedy) {
        super("setting '" + key + "': expected " + expected + "; " + remedy);
        this.key = key;
    }

    /** Returns the key with its path, for example {@code peers.port}. */
    public String key() {
        return key;
    }
}
