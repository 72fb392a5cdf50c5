package io.beryldock.timeline;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/** Merges the events of many nodes into one causal order. Stateless, thread safe. */
public final class TimelineMerger {

    private TimelineMerger() {}

    /** Returns each event once, even if several parts contain it; an event that caused another comes before it. */
    public static ImmutableList<Event> merge(Collection<? extends Collection<Event>> parts) {
        Set<Key> seen = new HashSet<>();
        return parts.stream()
                .flatMap(Collection::stream)
                .sorted(Event.CAUSAL_ORDER)
                .filter(event -> seen.add(new Key(event.node().value(), event.time(), event.count())))
                .collect(ImmutableList.toImmutableList());
    }

    private record Key(String node, HlcTime time, long count) {}
}
