package io.beryldock.configuration;

import io.beryldock.call.NodeId;

/** The target of a node takes no new work until the setting is removed. Immutable. */
public record DrainSetting(NodeId node) implements Setting {

    @Override
    public SettingKey key() {
        return SettingKey.drain(node);
    }

    @Override
    public String text() {
        return "drained";
    }
}
