package io.beryldock.admission;

import io.beryldock.call.Reason;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSampler;
import io.beryldock.timeline.EventSink;
import java.util.Optional;

/**
 * Writes what a gate does to the time line, so that an operator sees causes and not a flood.
 *
 * <p>Refusals are sampled and counted; the level is written when it crosses into another rank, the limit when it has
 * moved by a fifth, each at most once in {@link #QUIET_NANOS}. Guarded by the gate's lock.
 */
final class GateEvents {

    private static final long QUIET_NANOS = 500_000_000L;
    private static final double LIMIT_STEP = 0.2;

    private final EventSink events;
    private final String subject;
    private final EventSampler sheds;
    private int level = ServiceLevel.OPEN;
    private long levelAt;
    private int limit;
    private long limitAt;

    GateEvents(EventSink events, ServiceName service, int limit, long now) {
        this.events = events;
        this.subject = service.value();
        this.sheds = new EventSampler(events, EventKind.SHED_AT_TARGET);
        this.limit = limit;
        this.levelAt = now - QUIET_NANOS;
        this.limitAt = now - QUIET_NANOS;
    }

    void refused(GateEntry entry, Reason reason, long now) {
        if (sheds.take(now)) {
            String detail = "rank " + entry.request().rank() + ": " + reason.message();
            sheds.record(Optional.of(entry.request().id()), subject, detail);
        }
    }

    void level(int current, long now) {
        if (current / ServiceLevel.STEPS != level / ServiceLevel.STEPS && now - levelAt >= QUIET_NANOS) {
            events.record(EventKind.LEVEL_CHANGED, subject, "admission level from " + level + " to " + current);
            level = current;
            levelAt = now;
        }
    }

    void limit(int current, long now) {
        if (Math.abs(current - limit) > LIMIT_STEP * limit && now - limitAt >= QUIET_NANOS) {
            events.record(EventKind.LIMIT_CHANGED, subject, "concurrency limit from " + limit + " to " + current);
            limit = current;
            limitAt = now;
        }
    }
}
