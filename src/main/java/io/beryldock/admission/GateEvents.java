package io.beryldock.admission;

import com.google.common.flogger.FluentLogger;
import io.beryldock.call.Reason;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import io.beryldock.call.TargetNotice;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSampler;
import io.beryldock.timeline.EventSink;
import java.util.Optional;

/**
 * Records a gate's actions on the timeline, limited so that operators see causes and not a flood of events.
 *
 * <p>Refusals are sampled and counted. The level is recorded when it crosses into another rank and the limit when it
 * has changed by more than a fifth, each at most once per {@link #MIN_EVENT_INTERVAL_NANOS}. The rate limit that the
 * target names is recorded and logged when it begins, changes by more than a fifth, or ends. Guarded by the gate's
 * lock.
 */
final class GateEvents {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final long MIN_EVENT_INTERVAL_NANOS = 500_000_000L;
    private static final double MIN_LIMIT_CHANGE = 0.2;

    private final EventSink events;
    private final String subject;
    private final String start;
    private final EventSampler shedSampler;
    private int level = ServiceLevel.OPEN;
    private long levelRecordedAt;
    private int limit;
    private long limitRecordedAt;
    private double rate = TargetNotice.UNLIMITED;
    private long rateRecordedAt;

    GateEvents(EventSink events, ServiceName service, String start, int limit, long now) {
        this.start = start;
        this.events = events;
        this.subject = service.value();
        this.shedSampler = new EventSampler(events, EventKind.SHED_AT_TARGET);
        this.limit = limit;
        this.levelRecordedAt = now - MIN_EVENT_INTERVAL_NANOS;
        this.limitRecordedAt = now - MIN_EVENT_INTERVAL_NANOS;
        this.rateRecordedAt = now - MIN_EVENT_INTERVAL_NANOS;
    }

    void refused(GateEntry entry, Reason reason, long now) {
        if (shedSampler.shouldRecord(now)) {
            String detail = "rank " + entry.request().rank() + ": " + reason.message();
            shedSampler.record(Optional.of(entry.request().id()), subject, detail);
        }
    }

    void level(int current, long now) {
        if (current / ServiceLevel.STEPS != level / ServiceLevel.STEPS
                && now - levelRecordedAt >= MIN_EVENT_INTERVAL_NANOS) {
            events.record(EventKind.LEVEL_CHANGED, subject, "admission level from " + level + " to " + current);
            level = current;
            levelRecordedAt = now;
        }
    }

    void rate(double current, long now) {
        boolean beginsOrEnds = rate == TargetNotice.UNLIMITED || current == TargetNotice.UNLIMITED;
        boolean changes =
                Math.abs(current - rate) > MIN_LIMIT_CHANGE * rate && now - rateRecordedAt >= MIN_EVENT_INTERVAL_NANOS;
        if (beginsOrEnds || changes) {
            String change = current == TargetNotice.UNLIMITED
                    ? "target names no rate limit any more"
                    : "target names a rate limit of " + current + " requests per second";
            events.record(EventKind.LIMIT_CHANGED, subject, change);
            log.atInfo().log("service %s, start %s: %s", subject, start, change);
            rate = current;
            rateRecordedAt = now;
        }
    }

    void leaving() {
        String change = "target says that it is leaving";
        events.record(EventKind.TARGET_LEAVING, subject, change);
        log.atInfo().log("service %s, start %s: %s", subject, start, change);
    }

    void limit(int current, long now) {
        if (Math.abs(current - limit) > MIN_LIMIT_CHANGE * limit && now - limitRecordedAt >= MIN_EVENT_INTERVAL_NANOS) {
            events.record(EventKind.LIMIT_CHANGED, subject, "concurrency limit from " + limit + " to " + current);
            limit = current;
            limitRecordedAt = now;
        }
    }
}
