package io.beryldock.timeline;

import io.beryldock.call.RequestId;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the number of recorded events of one kind per second and counts the others, so that a flood of refusals
 * neither costs time nor evicts other events from the time line. Thread safe.
 */
public final class EventSampler {

    private static final long PERIOD_NANOS = 1_000_000_000L;
    private static final int EVENTS_PER_PERIOD = 10;

    private final EventSink events;
    private final EventKind kind;
    private final AtomicLong periodStart = new AtomicLong(Long.MIN_VALUE);
    private final AtomicInteger recorded = new AtomicInteger();
    private final AtomicInteger omitted = new AtomicInteger();

    public EventSampler(EventSink events, EventKind kind) {
        this.events = events;
        this.kind = kind;
    }

    /** Whether to record the next event; an event that is not to be recorded is counted. */
    public boolean shouldRecord(long now) {
        long start = periodStart.get();
        boolean periodEnded = start == Long.MIN_VALUE || now - start >= PERIOD_NANOS;
        if (periodEnded && periodStart.compareAndSet(start, now)) {
            recorded.set(0);
        }
        if (recorded.get() < EVENTS_PER_PERIOD && recorded.incrementAndGet() <= EVENTS_PER_PERIOD) {
            return true;
        }
        omitted.incrementAndGet();
        return false;
    }

    /** Records an event that is to be recorded, with the number of events omitted before it. */
    public void record(Optional<RequestId> request, String subject, String detail) {
        int count = omitted.getAndSet(0);
        events.record(kind, request, subject, count == 0 ? detail : detail + " (" + count + " more before)");
    }
}
