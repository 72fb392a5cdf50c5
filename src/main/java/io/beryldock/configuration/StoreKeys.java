package io.beryldock.configuration;

/**
 * Keys of the configuration in the platform store and the rings that they form. Stateless, thread safe.
 *
 * <p>Parts are written before the head refers to them, so a writer that fails in between leaves parts that nothing
 * refers to. With fixed rings of keys such parts are overwritten in their turn: the number of keys is bounded and
 * nothing has to be collected.
 */
final class StoreKeys {

    static final String HEAD = "configuration/head";

    /** Changes in a block, and the fewest that the head keeps when a block leaves it. */
    static final int BLOCK = 8;

    /** Blocks that are kept: 16,384 changes, more than a day of them. */
    static final int BLOCKS = 2048;

    /** Changes between two snapshots; a node that starts reads the snapshot and at most so many changes. */
    static final int SNAPSHOT_SPACING = 128;

    /** Keys that snapshots take in turn: a reader has the time of three snapshots to fetch the parts of one. */
    static final int SNAPSHOT_SLOTS = 4;

    private StoreKeys() {}

    /** Number of the block that holds the change; version 1 is the first of block 0. */
    static long blockOf(long version) {
        return (version - 1) / BLOCK;
    }

    /** The first version in a block. */
    static long firstOf(long block) {
        return block * BLOCK + 1;
    }

    /** The last version in a block. */
    static long lastOf(long block) {
        return (block + 1) * BLOCK;
    }

    static String block(String lineage, long block) {
        return "configuration/" + lineage + "/changes/" + block % BLOCKS;
    }

    static String part(String lineage, int slot, int part) {
        return "configuration/" + lineage + "/snapshot/" + slot + "/" + part;
    }
}
