package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.io.BaseEncoding;
import com.google.protobuf.ByteString;
import io.beryldock.wire.ConfigurationRecord;
import java.time.Instant;
import java.util.List;

/** Encodes and decodes change records for the store and the wire. Stateless, thread safe. */
final class RecordCodec {

    private static final BaseEncoding HEX = BaseEncoding.base16().lowerCase();

    private RecordCodec() {}

    static ConfigurationRecord encode(ChangeRecord change) {
        return ConfigurationRecord.newBuilder()
                .setVersion(change.version())
                .setChangeId(ByteString.copyFrom(HEX.decode(change.changeId())))
                .setOperator(change.operator())
                .setAtMillis(change.at().toEpochMilli())
                .setTouchedField(change.touched().field())
                .setStatement(change.statement())
                .setEntry(SettingCodec.entry(change.edit()))
                .build();
    }

    static List<ConfigurationRecord> encode(List<ChangeRecord> changes) {
        return changes.stream().map(RecordCodec::encode).toList();
    }

    static ChangeRecord decode(ConfigurationRecord change) {
        SettingEdit edit = SettingCodec.edit(change.getEntry());
        return new ChangeRecord(
                change.getVersion(),
                HEX.encode(change.getChangeId().toByteArray()),
                change.getOperator(),
                Instant.ofEpochMilli(change.getAtMillis()),
                edit.key().field(change.getTouchedField()),
                change.getStatement(),
                edit);
    }

    static ImmutableList<ChangeRecord> decode(List<ConfigurationRecord> changes) {
        return changes.stream().map(RecordCodec::decode).collect(ImmutableList.toImmutableList());
    }
}
