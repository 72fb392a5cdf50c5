package io.beryldock.store;

import java.util.Optional;

/** Counts how one prefix of the store is followed. Used on the timer thread only. */
final class FollowerCounters {

    private long listings;
    private long watches;
    private long watchesWithChanges;
    private long quietWatches;
    private long failedWatches;
    private long replacedWatches;
    private long missedChanges;

    void countListing() {
        listings++;
    }

    void countWatch() {
        watches++;
    }

    void countEndedWatch(int changes) {
        if (changes > 0) {
            watchesWithChanges++;
        } else {
            quietWatches++;
        }
    }

    void countFailedWatch() {
        failedWatches++;
    }

    void countReplacedWatch() {
        replacedWatches++;
    }

    /** Counts changes that a listing showed although the node knew of no such change. */
    void countMissedChanges(int changes) {
        missedChanges += changes;
    }

    /** The counts so far. */
    FollowerStats stats(String prefix, boolean watching, Optional<Long> checkedAgeNanos) {
        return new FollowerStats(
                prefix,
                watching,
                checkedAgeNanos,
                listings,
                watches,
                watchesWithChanges,
                quietWatches,
                failedWatches,
                replacedWatches,
                missedChanges);
    }
}
