package io.beryldock.settings;

/** Settings that check themselves after they were read, without the validator's start-up time. */
public interface SelfChecked {

    /** Fails with the key, what was expected and the remedy when a value can't be used. */
    void check() throws SettingsException;
}
