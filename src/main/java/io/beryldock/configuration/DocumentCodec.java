package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import com.google.common.io.ByteStreams;
import com.google.protobuf.ByteString;
import io.beryldock.wire.ConfigurationDocument;
import io.beryldock.wire.ConfigurationPart;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.List;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Whole documents as compressed bytes, cut into parts and joined again. Stateless, thread safe. */
final class DocumentCodec {

    /** Larger documents are not read: a corrupt or hostile part must not fill the memory of a node. */
    static final int MAX_DOCUMENT_BYTES = 32 << 20;

    private DocumentCodec() {}

    /** A whole document and the changes that led to it. Immutable. */
    record Whole(Configuration configuration, ImmutableList<ChangeRecord> recent) {}

    static ByteString encode(Configuration configuration, List<ChangeRecord> recent) {
        ConfigurationDocument.Builder document = ConfigurationDocument.newBuilder()
                .setLineage(configuration.lineage())
                .setVersion(configuration.version())
                .addAllRecent(RecordCodec.encode(recent));
        configuration.settings().values().forEach(setting -> document.addEntries(SettingCodec.entry(setting)));
        return compress(document.build());
    }

    private static ByteString compress(ConfigurationDocument document) {
        ByteString.Output bytes = ByteString.newOutput();
        try (OutputStream out = new GZIPOutputStream(bytes)) {
            document.writeTo(out);
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        return bytes.toByteString();
    }

    /** Reads a document; an {@link IOException} tells that the bytes are not one. */
    static Whole decode(ByteString bytes) throws IOException {
        try (InputStream in = new GZIPInputStream(bytes.newInput())) {
            byte[] plain = ByteStreams.limit(in, MAX_DOCUMENT_BYTES).readAllBytes();
            return decode(ConfigurationDocument.parseFrom(plain));
        } catch (IllegalArgumentException e) {
            throw new IOException("not a configuration: " + e.getMessage(), e);
        }
    }

    private static Whole decode(ConfigurationDocument document) {
        List<Setting> settings =
                document.getEntriesList().stream().map(SettingCodec::setting).toList();
        Configuration configuration = Configuration.of(document.getLineage(), document.getVersion(), settings);
        return new Whole(configuration, RecordCodec.decode(document.getRecentList()));
    }

    static long hash(ByteString bytes) {
        return Hashing.murmur3_128().hashBytes(bytes.asReadOnlyByteBuffer()).asLong();
    }

    static ImmutableList<ConfigurationPart> cut(long version, ByteString bytes, int partBytes) {
        long hash = hash(bytes);
        int count = Math.max(1, (bytes.size() + partBytes - 1) / partBytes);
        ImmutableList.Builder<ConfigurationPart> parts = ImmutableList.builder();
        for (int i = 0; i < count; i++) {
            int end = Math.min(bytes.size(), (i + 1) * partBytes);
            parts.add(ConfigurationPart.newBuilder()
                    .setVersion(version)
                    .setHash(hash)
                    .setIndex(i)
                    .setCount(count)
                    .setContent(bytes.substring(i * partBytes, end))
                    .build());
        }
        return parts.build();
    }

    /** Joins all parts of a document, in order; fails when they are not those of one. */
    static Whole join(List<ConfigurationPart> parts) throws IOException {
        ByteString bytes = ByteString.EMPTY;
        for (ConfigurationPart part : parts) {
            bytes = bytes.concat(part.getContent());
        }
        if (parts.isEmpty() || hash(bytes) != parts.get(0).getHash()) {
            throw new IOException("the parts don't belong together");
        }
        return decode(bytes);
    }
}
