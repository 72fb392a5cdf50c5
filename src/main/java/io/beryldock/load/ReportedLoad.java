package io.beryldock.load;

import io.beryldock.call.TargetLoad;
import java.time.Duration;
import java.util.Optional;

/**
 * The latest load report of one incarnation of a target, as received by one caller.
 *
 * <p>The age of the report is measured with the caller's clock. Its weight falls with age until the load counts as
 * unknown. Invariants: a report never replaces one with a higher version; the number of calls sent since the report is
 * never negative. Not thread safe; guarded by the lock of its owner.
 */
public final class ReportedLoad {

    /** In about this time a service with 100 slots replaces all its requests, so an older report carries no weight. */
    static final long MAX_AGE_NANOS = Duration.ofMillis(800).toNanos();

    private TargetLoad load;
    private long receivedAt;
    private int sentSince;

    /** Stores the report unless it is older than the current one. */
    public void onReport(TargetLoad report, long now) {
        if (load != null && report.version() <= load.version()) {
            return;
        }
        load = report;
        receivedAt = now;
        sentSince = 0;
    }

    /** Records a call that was sent after the latest report and is not counted in it. */
    public void onSent() {
        sentSince++;
    }

    /** The latest report, regardless of its age. */
    public Optional<TargetLoad> newest() {
        return Optional.ofNullable(load);
    }

    /** Weight of the report by its age: 1 when just received, 0 when the load is unknown. */
    public double weight(long now) {
        if (load == null) {
            return 0;
        }
        double age = Math.max(0, now - receivedAt);
        return Math.max(0, 1 - age / MAX_AGE_NANOS);
    }

    /** Age of the latest report, -1 when there is none. */
    public long ageNanos(long now) {
        return load == null ? -1 : Math.max(0, now - receivedAt);
    }

    /** Requests running or queued at the target by the latest report, plus the calls sent since. */
    public int busy() {
        return load == null ? sentSince : load.running() + load.queued() + sentSince;
    }

    /** Concurrency limit of the target by the latest report, or the announced one when there is none; at least 1. */
    public int limit(int announced) {
        int slots = load == null ? announced : load.limit();
        return Math.max(1, slots);
    }

    /** Estimated free slots; 0 when the load is unknown or the target is draining. */
    public int free(long now) {
        boolean unknown = weight(now) == 0 || load.draining();
        return unknown ? 0 : Math.max(0, load.freeSlots() - sentSince);
    }

    /** Whether the target reported recently that it is draining. */
    public boolean isDraining(long now) {
        return weight(now) > 0 && load.draining();
    }
}
