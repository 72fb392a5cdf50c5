package io.beryldock.waiting;

import io.beryldock.credit.TreeCredits;
import io.beryldock.credit.TreeKey;
import io.beryldock.timeline.EventSink;
import java.util.Objects;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;

/**
 * Dependencies of {@link EntryWaiting}. Immutable.
 *
 * @param slotNanos slot time that a call tree of this kind takes, by which organisations are compared
 * @param random a thread-safe generator
 */
public record WaitingPorts(
        WaitingSettings settings,
        TreeCredits credits,
        ToLongFunction<TreeKey> slotNanos,
        RandomGenerator random,
        EventSink events) {

    public WaitingPorts {
        Objects.requireNonNull(settings, "settings");
        Objects.requireNonNull(credits, "credits");
    }

    /** Creates the dependencies of an entry that compares organisations by the usual time of their call trees. */
    public static WaitingPorts of(
            WaitingSettings settings, TreeCredits credits, RandomGenerator random, EventSink events) {
        return new WaitingPorts(settings, credits, credits::usualNanos, random, events);
    }
}
