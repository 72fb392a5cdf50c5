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
 * A bounded ring buffer with the latest events of one node.
 *
 * <p>Thread safe, with short critical sections. Events of kinds that occur per request are aggregated: the first event
 * of a kind and subject enters the ring at once, and those that follow within {@link #WINDOW_MILLIS} become one event
 * with their count and one of their requests, chosen at random. The decisions on each request are kept in a separate
 * buffer for {@link #find}. Invariant: the counts of all events, including evicted events and open windows, sum to the
 * number of calls of {@code record}.
 */
public final class EventRing implements EventSink {

    /** Length of the window in which events of the same aggregated kind and subject become one event. */
    static final long WINDOW_MILLIS = 1_000;

    /** Maximum number of open windows; events of further subjects are counted under the subject {@link #OTHERS}. */
    static final int MAX_WINDOWS = 256;

    static final String OTHERS = "others";

    /** Number of retained decisions on requests per event of the ring's capacity. */
    private static final int DECISIONS_PER_EVENT = 2;

    private static final ImmutableSet<EventKind> AGGREGATED_KINDS = Sets.immutableEnumSet(
            EventKind.SHED_AT_DOOR,
            EventKind.SHED_AT_TARGET,
            EventKind.REQUEST_REFUSED,
            EventKind.RETRY_GRANTED,
            EventKind.RETRY_REFUSED,
            EventKind.OUTCOME_UNKNOWN,
            EventKind.TICKET_MINTED,
            EventKind.TICKET_DISPATCHED,
            EventKind.KEY_BOUND);

    /** Kinds that report a state of their subject that may cause later decisions. */
    private static final ImmutableSet<EventKind> STATE_KINDS = Sets.immutableEnumSet(
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
            throw new IllegalArgumentException("ring capacity must be at least 1: " + capacity);
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
        if (AGGREGATED_KINDS.contains(kind)) {
            count(event);
        } else {
            append(events, capacity, event);
        }
    }

    /** Events at or after the given time, in causal order, including the counts of open windows. */
    public synchronized ImmutableList<Event> since(HlcTime from) {
        closeWindows(clock.last());
        Stream<Event> open =
                windows.values().stream().filter(Window::hasCountedEvents).map(Window::toEvent);
        return Stream.concat(events.stream(), open)
                .filter(event -> event.time().compareTo(from) >= 0)
                .sorted(Event.CAUSAL_ORDER)
                .collect(ImmutableList.toImmutableList());
    }

    /** The decisions on the request, in causal order; empty if they were evicted or made by another node. */
    public synchronized ImmutableList<Event> find(RequestId request) {
        return decisions.stream()
                .filter(event -> event.isAbout(request))
                .sorted(Event.CAUSAL_ORDER)
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * The decisions on the request, each preceded by the last recorded state of its subject: a level, limit, drain or
     * ejection that may be the cause of the decision.
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
                .filter(event -> STATE_KINDS.contains(event.kind()))
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
        Iterator<Window> iterator = windows.values().iterator();
        while (iterator.hasNext()) {
            Window window = iterator.next();
            if (now.millis() < window.endMillis) {
                earliestEnd = Math.min(earliestEnd, window.endMillis);
                continue;
            }
            iterator.remove();
            if (window.hasCountedEvents()) {
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

        // Written by hand because the C1 compiler, which nodes use, does not inline the generated equals of a record,
        // which is an invokedynamic call.
        @Override
        public boolean equals(Object other) {
            return other instanceof WindowKey that && kind == that.kind && subject.equals(that.subject);
        }

        @Override
        public int hashCode() {
            return 31 * kind.hashCode() + subject.hashCode();
        }
    }

    /** Counts the events of one kind and subject that follow the first event of the window. */
    private static final class Window {
        private final long endMillis;
        private final String subject;
        private Event sample;
        private long count;

        Window(HlcTime start, String subject) {
            this.endMillis = start.millis() + WINDOW_MILLIS;
            this.subject = subject;
        }

        /** Counts the event; each counted event becomes the sample with the same probability. */
        void add(Event event, RandomGenerator random) {
            count++;
            if (random.nextLong(count) == 0) {
                sample = event;
            }
        }

        boolean hasCountedEvents() {
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
