package io.beryldock.routing;

import io.beryldock.routing.TargetHealth.Condition;
import java.time.Duration;

/**
 * Whether one target is left out for failed calls, and for how long.
 *
 * <p>An ejection ends with a probe: one call at a time until one goes well. Each ejection is twice as long as the one
 * before, until the target has been well for {@link #FORGIVEN_NANOS}. Not thread safe; guarded by the lock of
 * {@link ServiceTargets}.
 */
final class Ejection {

    static final long FORGIVEN_NANOS = Duration.ofMinutes(1).toNanos();

    private static final int MAX_DOUBLINGS = 20;

    final FailureWindow window;
    private int consecutive;
    private int ejections;
    private boolean out;
    private boolean unreachable;
    private long until;
    private long wellSince;

    Ejection(long now) {
        this.window = new FailureWindow(now);
        this.until = now;
        this.wellSince = now;
    }

    Condition condition(long now) {
        if (!out) {
            return Condition.HEALTHY;
        }
        if (now >= until) {
            return Condition.PROBED;
        }
        return unreachable ? Condition.UNREACHABLE : Condition.EJECTED;
    }

    boolean isOut() {
        return out;
    }

    /** Whether it was ejected before the latest time, and that is not forgiven yet. */
    boolean isRepeated() {
        return ejections > 1;
    }

    int consecutive() {
        return consecutive;
    }

    void onWell(long now) {
        consecutive = 0;
        window.add(false, now);
    }

    void onFailed(long now) {
        consecutive++;
        window.add(true, now);
    }

    /** Leaves the target out, longer each time, and returns for how long. */
    long eject(long now, boolean nodeUnreachable, ChooserSettings settings, double jitter) {
        if (!out && now - wellSince > FORGIVEN_NANOS) {
            ejections = 0;
        }
        int doublings = Math.min(MAX_DOUBLINGS, ejections);
        long plain = Math.min(
                settings.maxEjection().toNanos(), settings.firstEjection().toNanos() << doublings);
        long length = (long) (plain * (1 + jitter));
        ejections++;
        out = true;
        unreachable = nodeUnreachable;
        until = now + length;
        return length;
    }

    void comeBack(long now) {
        out = false;
        unreachable = false;
        consecutive = 0;
        wellSince = now;
        window.clear();
    }

    /** Ends the waiting time, as there is news of the target: the next call is a probe. */
    void probeNow(long now) {
        until = Math.min(until, now);
    }
}
