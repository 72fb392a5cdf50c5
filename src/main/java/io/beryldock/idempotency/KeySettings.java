package io.beryldock.idempotency;

import java.time.Duration;

/**
 * Settings for the storage of callers' keys in the platform store. Immutable.
 *
 * <p>{@code shards} and {@code generations} must be equal at every node of a deployment and must not change while keys
 * are retained: two nodes that look up a key in different documents would bind it twice.
 *
 * @param prefix prefix of the keys in the platform store
 * @param shards number of independently written documents; together with {@code writeGap} it bounds the write rate
 * @param generations number of documents per shard; a new generation overwrites the oldest document
 * @param generationAge minimum time for which a generation is written; a binding is retained for at least {@code
 *     (generations - 1) * generationAge}
 * @param writeGap minimum time between two writes of a shard by one node
 * @param retryGap initial back-off after a store failure
 * @param timeout maximum wait for a binding
 * @param maxDocumentBytes size at which a document accepts no more bindings
 */
public record KeySettings(
        String prefix,
        int shards,
        int generations,
        Duration generationAge,
        Duration writeGap,
        Duration retryGap,
        Duration timeout,
        int maxDocumentBytes) {

    private static final int DEFAULT_SHARDS = 32;
    private static final int DEFAULT_GENERATIONS = 128;
    private static final int DEFAULT_DOCUMENT_BYTES = 900_000;

    /**
     * Retains keys for 46 minutes, which exceeds the sum of an unused ticket's lifetime and the retention of its
     * answer, and allows at most 160 writes a second over all shards.
     */
    public static KeySettings defaults() {
        return new KeySettings(
                "beryldock/keys/",
                DEFAULT_SHARDS,
                DEFAULT_GENERATIONS,
                Duration.ofSeconds(22),
                Duration.ofMillis(200),
                Duration.ofMillis(100),
                Duration.ofSeconds(2),
                DEFAULT_DOCUMENT_BYTES);
    }
}
