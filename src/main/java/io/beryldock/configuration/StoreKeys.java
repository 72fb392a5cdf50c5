package io.beryldock.configuration;

/**
 * Keys of the configuration in the platform store, and the rings that the keys form. Stateless, thread safe.
 *
 * <p>Parts are written before the head refers to them, so a writer that fails in between leaves unreferenced parts.
 * With fixed rings of keys, later writes overwrite such parts: the number of keys is bounded, and no garbage collection
 * is needed.
 */
final class StoreKeys {

    static final String HEAD = "configuration/head";

    /** Number of changes in a block, and the minimum number that the head keeps when a block is moved out of it. */
    static final int BLOCK = 8;

    /** Number of blocks that are kept: 16,384 changes, more than a day's worth. */
    static final int BLOCKS = 2048;

    /**
     * Number of changes between two snapshots; a starting node reads the snapshot and about this many changes at most.
     */
    static final int SNAPSHOT_SPACING = 128;

    /**
     * Number of keys that snapshots use in turn: a reader can fetch the parts of one snapshot for as long as three
     * further snapshots take.
     */
    static final int SNAPSHOT_SLOTS = 4;

    private StoreKeys() {}

    /** Returns the number of the block that contains the change; version 1 is the first change of block 0. */
    static long blockOf(long version) {
        return (version - 1) / BLOCK;
    }

    /** Returns the first version in a block. */
    static long firstOf(long block) {
        return block * BLOCK + 1;
    }

    /** Returns the last version in a block. */
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
