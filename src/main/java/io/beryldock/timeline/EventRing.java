package io.beryldock.timeline;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.call.RequestId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/**
 * The latest events of one node, bounded.
 *
 * <p>Thread safe, with short locks. Kinds that come once a request are counted: the first of a kind and subject stands
 * in the ring at once, those that follow within {@link #WINDOW_MILLIS} become one event with their count and a request
 * picked at random among them. Each request's own decision is kept beside the ring for {@link #find}. Invariant: the
 * counts of the events recorded, evicted ones and open windows included, sum to the number of calls of {@code record}.
 */
public final class EventRing implements EventSink {

    /** Length of the window in which events of a counted kind and subject become one. */
    static final long WINDOW_MILLIS = 1_000;

    /** How many kinds and subjects may be counted at once; more share the subject {@link #OTHERS}. */
    static final int MAX_WINDOWS = 256;

    static final String OTHERS = "others";

    /** Decisions on requests kept for each event of the ring's capacity. */
    private static final int DECISIONS_PER_EVENT = 2;

    private static final ImmutableSet<EventKind> COUNTED = Sets.immutableEnumSet(
            EventKind.SHED_AT_DOOR,
            EventKind.SHED_AT_TARGET,
            EventKind.REQUEST_REFUSED,
            EventKind.RETRY_GRANTED,
            EventKind.RETRY_REFUSED,
            EventKind.OUTCOME_UNKNOWN,
            EventKind.TICKET_MINTED,
            EventKind.TICKET_DISPATCHED,
            EventKind.KEY_BOUND);

    /** Kinds that tell a state of their subject which later decisions may follow from. */
    private static final ImmutableSet<EventKind> STATES = Sets.immutableEnumSet(
            EventKind.LIMIT_CHANGED,
            EventKind.LEVEL_CHANGED,
            EventKind.TARGET_LEAVING,
            EventKind.TARGET_LOST,
            EventKind.TARGET_EJECTED,
            EventKind.REQUEST_QUARANTINED,
            EventKind.DRAIN_STARTED);

    private final NodeId node;
    private final DataCentre dataCentre;
    private final HybridLogicalClock clock;
    private final RandomGenerator random;
    private final int capacity;
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private final ArrayDeque<Event> decisions = new ArrayDeque<>();
    private final Map<WindowKey, Window> windows = new HashMap<>();
    private long lastId;
    private long earliestEnd = Long.MAX_VALUE;

    private EventRing(
            NodeId node, DataCentre dataCentre, HybridLogicalClock clock, int capacity, RandomGenerator random) {
        this.node = node;
        this.dataCentre = dataCentre;
        this.clock = clock;
        this.capacity = capacity;
        this.random = random;
    }

    public static EventRing create(
            NodeId node, DataCentre dataCentre, HybridLogicalClock clock, int capacity, RandomGenerator random) {
        if (capacity < 1) {
            throw new IllegalArgumentException("a ring holds at least one event: " + capacity);
        }
        return new EventRing(node, dataCentre, clock, capacity, random);
    }

    @Override
    public synchronized void record(EventKind kind, Optional<RequestId> request, String subject, String detail) {
        HlcTime time = clock.now();
        Event event = new Event(++lastId, time, node, dataCentre, kind, request, subject, detail, 1);
        if (request.isPresent()) {
            append(decisions, DECISIONS_PER_EVENT * capacity, event);
        }
        closeWindows(time);
        if (COUNTED.contains(kind)) {
            count(event);
        } else {
            append(events, capacity, event);
        }
    }

    /** Events at or after that time, in order; counts of windows that are still open are included. */
    public synchronized ImmutableList<Event> since(HlcTime from) {
        closeWindows(clock.last());
        Stream<Event> open = windows.values().stream().filter(Window::hasRest).map(Window::toEvent);
        return Stream.concat(events.stream(), open)
                .filter(event -> event.time().compareTo(from) >= 0)
                .sorted(Event.CAUSAL_ORDER)
                .collect(ImmutableList.toImmutableList());
    }

    /** What was decided over the request, in order; empty when that was too long ago or elsewhere. */
    public synchronized ImmutableList<Event> find(RequestId request) {
        return decisions.stream()
                .filter(event -> event.isAbout(request))
                .sorted(Event.CAUSAL_ORDER)
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * What was decided over the request, and before each decision what this node had last recorded of the state of its
     * subject: a level, limit, drain or ejection that may be the cause.
     */
    public synchronized ImmutableList<Event> explain(RequestId request) {
        TreeSet<Event> explanation = new TreeSet<>(Event.CAUSAL_ORDER);
        for (Event decision : find(request)) {
            explanation.add(decision);
            lastStateBefore(decision).ifPresent(explanation::add);
        }
        return ImmutableList.copyOf(explanation);
    }

    public HybridLogicalClock clock() {
        return clock;
    }

    public NodeId node() {
        return node;
    }

    private Optional<Event> lastStateBefore(Event decision) {
        return events.stream()
                .filter(event -> STATES.contains(event.kind()))
                .filter(event -> event.subject().equals(decision.subject()))
                .filter(event -> event.time().compareTo(decision.time()) < 0)
                .max(Event.CAUSAL_ORDER);
    }

    private void count(Event event) {
        WindowKey key = new WindowKey(event.kind(), event.subject());
        Window window = windows.get(key);
        if (window == null && windows.size() >= MAX_WINDOWS) {
            key = new WindowKey(event.kind(), OTHERS);
            window = windows.get(key);
        }
        if (window == null) {
            windows.put(key, new Window(event.time(), key.subject()));
            earliestEnd = Math.min(earliestEnd, event.time().millis() + WINDOW_MILLIS);
            append(events, capacity, event);
            return;
        }
        window.add(event, random);
    }

    private void closeWindows(HlcTime now) {
        if (now.millis() < earliestEnd) {
            return;
        }
        earliestEnd = Long.MAX_VALUE;
        List<Event> closed = new ArrayList<>();
        Iterator<Window> all = windows.values().iterator();
        while (all.hasNext()) {
            Window window = all.next();
            if (now.millis() < window.endMillis) {
                earliestEnd = Math.min(earliestEnd, window.endMillis);
                continue;
            }
            all.remove();
            if (window.hasRest()) {
                closed.add(window.toEvent());
            }
        }
        closed.sort(Event.CAUSAL_ORDER);
        closed.forEach(event -> append(events, capacity, event));
    }

    private static void append(ArrayDeque<Event> ring, int capacity, Event event) {
        if (ring.size() == capacity) {
            ring.removeFirst();
        }
        ring.addLast(event);
    }

    private record WindowKey(EventKind kind, String subject) {

        // Written out: nodes' C1 compiler does not inline the generated equals of a record, an invokedynamic call.
        @Override
        public boolean equals(Object other) {
            return other instanceof WindowKey that && kind == that.kind && subject.equals(that.subject);
        }

        @Override
        public int hashCode() {
            return 31 * kind.hashCode() + subject.hashCode();
        }
    }

    /** Counts like events after the first. */
    private static final class Window {
        private final long endMillis;
        private final String subject;
        private Event sample;
        private long count;

        Window(HlcTime start, String subject) {
            this.endMillis = start.millis() + WINDOW_MILLIS;
            this.subject = subject;
        }

        /** Keeps each event counted as the sample with the same probability. */
        void add(Event event, RandomGenerator random) {
            count++;
            if (random.nextLong(count) == 0) {
                sample = event;
            }
        }

        boolean hasRest() {
            return count > 0;
        }

        Event toEvent() {
            return new Event(
                    sample.id(),
                    sample.time(),
                    sample.node(),
                    sample.dataCentre(),
                    sample.kind(),
                    sample.request(),
                    subject,
                    sample.detail(),
                    count);
        }
    }
}
