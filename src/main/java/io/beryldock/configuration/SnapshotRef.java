package io.beryldock.configuration;

/**
 * Refers to a snapshot in the store: the full document at one version.
 *
 * <p>Immutable.
 *
 * @param slot which of the keys that snapshots use in turn
 * @param parts number of values that the snapshot is split into
 * @param hash hash of the joined bytes
 */
record SnapshotRef(long version, int slot, int parts, long hash) {}
