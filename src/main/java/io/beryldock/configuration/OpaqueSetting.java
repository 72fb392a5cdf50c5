package io.beryldock.configuration;

import com.google.protobuf.ByteString;

/**
 * A setting that a later release of the program wrote: kept byte for byte, so that an older node loses nothing of it.
 *
 * <p>Immutable.
 *
 * @param kind the number of the kind, as the later release knows it
 * @param name the name that the writer gave it
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
