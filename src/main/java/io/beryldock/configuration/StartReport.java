package io.beryldock.configuration;

/**
 * What a node starts serving with. Immutable.
 *
 * @param version the version in force when the wait was over, 0 for the defaults
 * @param confirmed whether the store or peers had told the highest; if not, the node serves on what it has
 */
public record StartReport(long version, boolean confirmed) {}
