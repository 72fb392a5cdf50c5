package io.beryldock.configuration;

/**
 * The configuration with which a node starts to serve. Immutable.
 *
 * @param version the version in force at the end of the wait, 0 for the defaults
 * @param confirmed whether the store or enough peers reported the highest version; if not, the node serves with the
 *     version that it has
 */
public record StartReport(long version, boolean confirmed) {}
