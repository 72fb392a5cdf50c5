package io.beryldock.configuration;

import com.google.protobuf.ByteString;

/**
 * A setting written by a later release: it is kept byte for byte, so that an older node does not lose it.
 *
 * <p>Immutable.
 *
 * @param kind the number of the kind as defined by the later release
 * @param name the name that the writer gave to the setting
 */
public record OpaqueSetting(int kind, String name, ByteString content) implements Setting {

    @Override
    public SettingKey key() {
        return new SettingKey(SettingKey.Kind.OPAQUE, kind + ":" + name, "");
    }

    @Override
    public String text() {
        return "not known to this release (" + content.size() + " bytes)";
    }
}
