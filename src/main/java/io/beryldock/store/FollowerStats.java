package io.beryldock.store;

import java.util.Optional;

/**
 * How a node follows one prefix of the store. Immutable.
 *
 * @param watching whether this node watches the prefix on behalf of its data centre
 * @param checkedAgeNanos time since the store provably held nothing that this node had not read; empty while unknown
 * @param listings listings that this node began
 * @param watches watches that this node began
 * @param watchesWithChanges watches that ended with changes
 * @param quietWatches watches that ended without changes
 * @param failedWatches watches that failed
 * @param replacedWatches watches that this node replaced before they ended
 * @param missedChanges changes that a listing showed and that neither a watch nor another node had reported
 */
public record FollowerStats(
        String prefix,
        boolean watching,
        Optional<Long> checkedAgeNanos,
        long listings,
        long watches,
        long watchesWithChanges,
        long quietWatches,
        long failedWatches,
        long replacedWatches,
        long missedChanges) {}
