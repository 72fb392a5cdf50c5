package io.beryldock.idempotency;

import java.time.Duration;

/**
 * How callers' keys are kept in the platform store. Immutable.
 *
 * <p>{@code shards} and {@code generations} must be equal at every node of a deployment and never change while keys are
 * kept: two nodes that look for one key in two documents would bind it twice.
 *
 * @param prefix of the store's keys
 * @param shards documents written side by side; with {@code writeGap} it bounds the store's writes
 * @param generations documents of one shard, the oldest of which is written over
 * @param generationAge shortest time that a generation is written to; a binding is kept for at least
 *     {@code (generations - 1) * generationAge}
 * @param writeGap shortest time between two writes of a shard by one node
 * @param retryGap wait before the store is asked again after a failure
 * @param timeout longest wait for a binding
 * @param maxDocumentBytes size of a document that takes no more bindings
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
     * Keys kept for 46 minutes, which is longer than an unused ticket lives and its answer is kept together; at most
     * 160 writes a second over all shards.
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
