package io.beryldock.waiting;

import com.google.common.collect.ImmutableList;
import io.beryldock.organisation.OrganisationName;
import io.beryldock.waiting.WaitingSnapshot.Served;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Slot time that organisations were given of late, in this window and the one before.
 *
 * <p>Memory is held only for organisations that were served within two windows. Guarded by the lock of the entry.
 */
final class RecentService {

    /** Long enough to see more than single trees, short enough that one who was quiet is not owed minutes. */
    private static final long WINDOW_NANOS = Duration.ofSeconds(2).toNanos();

    private static final int TOP = 10;

    private Map<OrganisationName, Long> before = new HashMap<>();
    private Map<OrganisationName, Long> current = new HashMap<>();
    private long currentSince;

    RecentService(long now) {
        this.currentSince = now;
    }

    void add(Optional<OrganisationName> organisation, long slotNanos, long now) {
        advance(now);
        organisation.ifPresent(name -> current.merge(name, slotNanos, Long::sum));
    }

    /** Moves on to the window of this time. */
    void advance(long now) {
        if (now - currentSince < WINDOW_NANOS) {
            return;
        }
        before = now - currentSince < 2 * WINDOW_NANOS ? current : new HashMap<>();
        current = new HashMap<>();
        currentSince = now;
    }

    /** Slot time given up to the last {@link #advance}; 0 for requests without an organisation. */
    long nanos(Optional<OrganisationName> organisation) {
        return organisation.map(this::nanos).orElse(0L);
    }

    private long nanos(OrganisationName name) {
        return before.getOrDefault(name, 0L) + current.getOrDefault(name, 0L);
    }

    /** Those given most, the largest first. */
    ImmutableList<Served> top() {
        Set<OrganisationName> names = new HashSet<>(before.keySet());
        names.addAll(current.keySet());
        return names.stream()
                .map(name -> new Served(name, nanos(name)))
                .sorted(Comparator.comparingLong(Served::slotNanos).reversed())
                .limit(TOP)
                .collect(ImmutableList.toImmutableList());
    }
}
