package io.beryldock.store;

/**
 * Number of calls that a stand-in of the platform store received, by kind; a watch counts as one call. Immutable.
 *
 * @param reads calls of get
 * @param writes calls of compareAndSet, whether applied or not
 */
public record StoreCallCounts(long reads, long writes, long leases, long watches) {}
