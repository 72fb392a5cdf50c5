package io.beryldock.configuration;

/**
 * Where the store has the whole document at one version.
 *
 * <p>Immutable.
 *
 * @param slot which of the few keys that snapshots take in turn
 * @param parts number of values it is cut into
 * @param hash of the joined bytes
 */
record SnapshotRef(long version, int slot, int parts, long hash) {}
