package io.beryldock.configuration;

import io.beryldock.call.PriorityClass;

/** A priority class and its rank. Immutable. */
public record ClassSetting(PriorityClass priority) implements Setting {

    @Override
    public SettingKey key() {
        return SettingKey.priorityClass(priority.name());
    }

    @Override
    public String text() {
        return "priority " + priority.rank();
    }
}
