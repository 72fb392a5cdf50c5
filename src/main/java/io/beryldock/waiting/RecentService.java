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
 * Slot time that was recently granted to each organisation, in the current window and the one before.
 *
 * <p>Memory is held only for organisations that were served within two windows. Guarded by the lock of the entry.
 */
final class RecentService {

    /**
     * Long enough to cover more than single call trees, short enough that an idle organisation does not accumulate a
     * claim to minutes of slot time.
     */
    private static final long WINDOW_NANOS = Duration.ofSeconds(2).toNanos();

    private static final int TOP = 10;

    private Map<OrganisationName, Long> previous = new HashMap<>();
    private Map<OrganisationName, Long> current = new HashMap<>();
    private long currentSince;

    RecentService(long now) {
        this.currentSince = now;
    }

    void add(Optional<OrganisationName> organisation, long slotNanos, long now) {
        advance(now);
        organisation.ifPresent(name -> current.merge(name, slotNanos, Long::sum));
    }

    /** Advances to the window that contains this time. */
    void advance(long now) {
        if (now - currentSince < WINDOW_NANOS) {
            return;
        }
        previous = now - currentSince < 2 * WINDOW_NANOS ? current : new HashMap<>();
        current = new HashMap<>();
        currentSince = now;
    }

    /** Returns the slot time granted up to the last {@link #advance}; 0 for requests without an organisation. */
    long nanos(Optional<OrganisationName> organisation) {
        return organisation.map(this::nanos).orElse(0L);
    }

    private long nanos(OrganisationName name) {
        return previous.getOrDefault(name, 0L) + current.getOrDefault(name, 0L);
    }

    /** Returns the organisations that were granted the most slot time, the largest first. */
    ImmutableList<Served> top() {
        Set<OrganisationName> names = new HashSet<>(previous.keySet());
        names.addAll(current.keySet());
        return names.stream()
                .map(name -> new Served(name, nanos(name)))
                .sorted(Comparator.comparingLong(Served::slotNanos).reversed())
                .limit(TOP)
                .collect(ImmutableList.toImmutableList());
    }
}
