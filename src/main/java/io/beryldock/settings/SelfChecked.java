package io.beryldock.settings;

/** Settings that validate themselves after they are read, which avoids the start-up time of the bean validator. */
public interface SelfChecked {

    /** Throws an exception with the key, the expected value and the remedy if a value is invalid. */
    void check() throws SettingsException;
}
