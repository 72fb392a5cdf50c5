package io.beryldock.configuration;

import java.util.Objects;
import java.util.Optional;

/**
 * The effect of a change on the one setting that it touches. Immutable.
 *
 * @param setting the new value, empty if the setting is removed
 */
public record SettingEdit(SettingKey key, Optional<Setting> setting) {

    public SettingEdit {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(setting, "setting");
    }

    static SettingEdit put(Setting setting) {
        return new SettingEdit(setting.key(), Optional.of(setting));
    }

    static SettingEdit remove(SettingKey key) {
        return new SettingEdit(key.whole(), Optional.empty());
    }

    String text() {
        return setting.map(Setting::text).orElse("removed");
    }
}
