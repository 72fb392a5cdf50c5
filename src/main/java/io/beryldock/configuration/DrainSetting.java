package io.beryldock.configuration;

import io.beryldock.call.NodeId;

/** Marks the target of a node as drained: it gets no new requests until the setting is removed. Immutable. */
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
