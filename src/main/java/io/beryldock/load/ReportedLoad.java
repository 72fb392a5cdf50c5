package io.beryldock.load;

import io.beryldock.call.TargetLoad;
import java.time.Duration;
import java.util.Optional;

/**
 * The newest report of load from one start of one target, as one caller knows it.
 *
 * <p>Its age is measured by the caller's own clock. It loses its weight with age, until the load counts as unknown.
 * Invariants: a report never replaces one with a higher version; calls sent since the report are never below 0. Not
 * thread safe; guarded by the lock of its owner.
 */
public final class ReportedLoad {

    /** A service of a hundred slots turns over within about this time, so an older report tells nothing of now. */
    static final long UNKNOWN_AFTER_NANOS = Duration.ofMillis(800).toNanos();

    private TargetLoad load;
    private long heardAt;
    private int sentSince;

    /** Takes the report unless a newer one is known. */
    public void onReport(TargetLoad report, long now) {
        if (load != null && report.version() <= load.version()) {
            return;
        }
        load = report;
        heardAt = now;
        sentSince = 0;
    }

    /** A call was sent that the newest report can't count. */
    public void onSent() {
        sentSince++;
    }

    /** The newest report, however old. */
    public Optional<TargetLoad> newest() {
        return Optional.ofNullable(load);
    }

    /** How much of the report still counts: 1 when just heard, 0 when the load is unknown. */
    public double weight(long now) {
        if (load == null) {
            return 0;
        }
        double age = Math.max(0, now - heardAt);
        return Math.max(0, 1 - age / UNKNOWN_AFTER_NANOS);
    }

    /** Time since the newest report, -1 when there is none. */
    public long ageNanos(long now) {
        return load == null ? -1 : Math.max(0, now - heardAt);
    }

    /** Requests at the target by the newest report and the calls sent since. */
    public int busy() {
        return load == null ? sentSince : load.running() + load.queued() + sentSince;
    }

    /** Requests that the target runs at once by the newest report, or what it announced when there is none. */
    public int limit(int announced) {
        int known = load == null ? announced : load.limit();
        return Math.max(1, known);
    }

    /** Slots that are free as far as known; 0 when the load is unknown. */
    public int free(long now) {
        boolean unknown = weight(now) == 0 || load.draining();
        return unknown ? 0 : Math.max(0, load.limit() - busy());
    }

    /** Whether the target said of late that it admits nothing more. */
    public boolean isDraining(long now) {
        return weight(now) > 0 && load.draining();
    }
}
