package io.beryldock.timeline;

import io.beryldock.call.RequestId;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Records at most some events of one kind a period and counts the rest, so that a flood of refusals neither costs time
 * nor pushes everything else out of the time line. Thread safe.
 */
public final class EventSampler {

    private static final long PERIOD_NANOS = 1_000_000_000L;
    private static final int EVENTS_PER_PERIOD = 10;

    private final EventSink events;
    private final EventKind kind;
    private final AtomicLong periodStart = new AtomicLong(Long.MIN_VALUE);
    private final AtomicInteger recorded = new AtomicInteger();
    private final AtomicInteger left = new AtomicInteger();

    public EventSampler(EventSink events, EventKind kind) {
        this.events = events;
        this.kind = kind;
    }

    /** Whether the next event should be recorded; counts it when not. */
    public boolean take(long now) {
        long start = periodStart.get();
        boolean over = start == Long.MIN_VALUE || now - start >= PERIOD_NANOS;
        if (over && periodStart.compareAndSet(start, now)) {
            recorded.set(0);
        }
        if (recorded.get() < EVENTS_PER_PERIOD && recorded.incrementAndGet() <= EVENTS_PER_PERIOD) {
            return true;
        }
        left.incrementAndGet();
        return false;
    }

    /** Records an event for which {@link #take} said yes, with the number of those left out before it. */
    public void record(Optional<RequestId> request, String subject, String detail) {
        int count = left.getAndSet(0);
        events.record(kind, request, subject, count == 0 ? detail : detail + " (" + count + " more before)");
    }
}
