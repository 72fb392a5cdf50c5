package io.beryldock.soak;

import java.time.Duration;
import java.util.Locale;

/**
 * One entry of a plan. Immutable.
 *
 * @param at time since the start of the load
 * @param length until it ends; zero for what has no length of its own
 * @param node whom it concerns; of no meaning for what concerns all
 */
record PlannedFault(Duration at, Duration length, FaultAction action, int node) {

    private static final double MILLIS_PER_SECOND = 1000;

    Duration end() {
        return at.plus(length);
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%7.1f s %5.1f s  node %d  %s",
                at.toMillis() / MILLIS_PER_SECOND,
                length.toMillis() / MILLIS_PER_SECOND,
                node,
                action);
    }
}
