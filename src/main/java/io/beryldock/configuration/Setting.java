package io.beryldock.configuration;

/** One setting of the configuration. Immutable; equal settings have equal text. */
public sealed interface Setting permits Route, ClassSetting, RetrySetting, ServiceSetting, DrainSetting, OpaqueSetting {

    SettingKey key();

    /** Returns the value as operators read it, for example {@code priority 3}. */
    String text();
}
