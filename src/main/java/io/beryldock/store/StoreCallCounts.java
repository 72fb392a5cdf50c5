package io.beryldock.store;

/**
 * How many calls reached a stand-in of the platform store, by kind; a waiting watch counts as one. Immutable.
 *
 * @param reads calls of get
 * @param writes calls of compareAndSet, applied or not
 */
public record StoreCallCounts(long reads, long writes, long leases, long watches) {}
