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

/** Encodes full documents as compressed bytes, splits them into parts and joins the parts. Stateless, thread safe. */
final class DocumentCodec {

    /**
     * Maximum size of a decompressed document; the limit keeps a corrupt or hostile part from exhausting a node's
     * memory.
     */
    static final int MAX_DOCUMENT_BYTES = 32 << 20;

    private DocumentCodec() {}

    /** A full document and the most recent changes that led to it. Immutable. */
    record Document(Configuration configuration, ImmutableList<ChangeRecord> recent) {}

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

    /** Decodes a document; throws an {@link IOException} if the bytes are not a valid document. */
    static Document decode(ByteString bytes) throws IOException {
        try (InputStream in = new GZIPInputStream(bytes.newInput())) {
            byte[] decompressed = ByteStreams.limit(in, MAX_DOCUMENT_BYTES).readAllBytes();
            return decode(ConfigurationDocument.parseFrom(decompressed));
        } catch (IllegalArgumentException e) {
            throw new IOException("not a configuration: " + e.getMessage(), e);
        }
    }

    private static Document decode(ConfigurationDocument document) {
        List<Setting> settings =
                document.getEntriesList().stream().map(SettingCodec::setting).toList();
        Configuration configuration = Configuration.of(document.getLineage(), document.getVersion(), settings);
        return new Document(configuration, RecordCodec.decode(document.getRecentList()));
    }

    static long hash(ByteString bytes) {
        return Hashing.murmur3_128().hashBytes(bytes.asReadOnlyByteBuffer()).asLong();
    }

    static ImmutableList<ConfigurationPart> split(long version, ByteString bytes, int partBytes) {
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

    /**
     * Joins all parts of a document, in order; throws an {@link IOException} if the parts do not belong to one
     * document.
     */
    static Document join(List<ConfigurationPart> parts) throws IOException {
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
